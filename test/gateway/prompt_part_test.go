package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/estate"
)

// maxCrashesByPart is the maximum number of endpoints that may end under one part of a prompt: those that are counted, and
// those that end under requests sent before all nodes have been notified.
const maxCrashesByPart = endingsToHold + 2

// promptWith returns a prompt of four parts with the given part at a place from 0 to 2; the first of the others is common to
// all prompts, and the last is unique.
func promptWith(part string, place, number int) string {
	parts := []string{"common:40", fmt.Sprintf("topic%d:200", number%3)}
	parts = append(parts[:min(place, 2)], append([]string{part + ":100"}, parts[min(place, 2):]...)...)
	return strings.Join(append(parts, fmt.Sprintf("own%d:30", number)), ",")
}

// streamUnlike sends a request that no other equals.
func (f *fleet) streamUnlike(number int, prompt string) *result {
	return f.streamPrompt(f.nodes[number%len(f.nodes)], callerRequest{credential: "key-1", body: fmt.Sprint("body ", number), prompt: prompt})
}

// crashByPart sends requests with the part, of which no two are alike, until enough endpoints have ended to hold it back.
func (f *fleet) crashByPart(part string, place int) {
	before := f.platform.Crashes()
	for i := 0; f.platform.Crashes() < before+endingsToHold; i++ {
		f.await("two endpoints of each kind serve", f.hasTwoOfEachKind)
		f.streamUnlike(i, promptWith(part, place, i))
	}
}

// Guards against requests of which no two are alike, but whose prompts have a part in common that ends every endpoint which
// begins to write on it: they reached endpoints without end, because endings were counted by whole requests.
func TestPromptPartThatEndsEndpointsIsSoonSentToNone(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint("place ", place), func(t *testing.T) {
			f := newFleet(t)
			f.crashByPart(estate.CrashPromptPrefix, place)
			time.Sleep(endingPropagationTime)
			before := f.platform.Crashes()
			qt.Check(t, before <= maxCrashesByPart, qt.IsTrue, qt.Commentf("%d endpoints have ended", before))
			for i := range 6 {
				f.await("two endpoints of each kind serve", f.hasTwoOfEachKind)
				r := f.streamUnlike(100+i, promptWith(estate.CrashPromptPrefix, place, 100+i))
				qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable)
				qt.Check(t, r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				sound := f.streamUnlike(200+i, promptWith("sound", place, 200+i))
				qt.Check(t, sound.isComplete(), qt.IsTrue, qt.Commentf("%d: a request that shares all but the part", sound.status))
			}
			qt.Check(t, f.platform.Crashes(), qt.Equals, before, qt.Commentf("requests with the part still reach endpoints"))
		})
	}
}

// The list of held requests in the store has the parts too, so that they stay held though all nodes lose their memory.
func TestHeldPromptPartStaysHeldThoughAllNodesAreKilled(t *testing.T) {
	f := newFleet(t)
	f.crashByPart(estate.CrashPromptPrefix, 1)
	f.await("the list of held requests is stored", func() bool { return f.platform.Store.Has("moorrun-quarantine", "held") })
	time.Sleep(endingPropagationTime)
	before := f.platform.Crashes()
	for _, n := range f.nodes {
		n.kill()
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.await("two endpoints of each kind serve", f.hasTwoOfEachKind)
	for i, n := range f.nodes {
		f.await("the node serves", n.isReady)
		f.await("the node holds the part back", func() bool { return n.countLogged("prompt part is held back") > 0 })
		r := f.streamPrompt(n, callerRequest{credential: "key-1", body: fmt.Sprint(i), prompt: promptWith(estate.CrashPromptPrefix, 1, 500+i)})
		qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	}
	f.await("other requests are served", func() bool { return f.streamUnlike(600, promptWith("sound", 1, 600)).isComplete() })
	qt.Check(t, f.platform.Crashes(), qt.Equals, before)
}

// Guards against a caller who is refused without word of the reason: the trace of the request names the part, and the endings
// that it is held back for.
func TestExplainRequestWithAHeldPart(t *testing.T) {
	f := newFleet(t)
	f.crashByPart(estate.CrashPromptPrefix, 1)
	time.Sleep(endingPropagationTime)
	f.await("a sound request is served", func() bool { return f.streamUnlike(699, promptWith("sound", 1, 699)).isComplete() })
	time.Sleep(endingPropagationTime)
	r := f.streamUnlike(700, promptWith(estate.CrashPromptPrefix, 1, 700))
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	trace := f.trace(r.id)
	qt.Check(t, strings.Contains(trace, "part="+estate.CrashPromptPrefix), qt.IsTrue, qt.Commentf(trace))
	qt.Check(t, strings.Count(trace, "endpoint ended") >= endingsToHold, qt.IsTrue, qt.Commentf(trace))
}

// Guards against a held part being forgotten when the store comes back from a copy made before: the nodes still know it, and
// store it again, so that it outlives them.
func TestHeldPromptPartSurvivesAStoreFromACopy(t *testing.T) {
	f := newFleet(t)
	before := f.platform.Store.Copy()
	f.crashByPart(estate.CrashPromptPrefix, 1)
	f.await("the list of held requests is stored", func() bool { return f.platform.Store.Has("moorrun-quarantine", "held") })
	f.platform.Restore(before)
	f.await("the list of held requests is stored again", func() bool { return f.platform.Store.Has("moorrun-quarantine", "held") })
	f.await("two endpoints of each kind serve", f.hasTwoOfEachKind)
	crashes := f.platform.Crashes()
	for i := range f.nodes {
		r := f.streamUnlike(800+i, promptWith(estate.CrashPromptPrefix, 1, 800+i))
		qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	}
	qt.Check(t, f.platform.Crashes(), qt.Equals, crashes)
}
