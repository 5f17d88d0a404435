package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/estate"
)

// endsToKnow is after how many ends under it a request counts as deadly. A few more may end: a copy that was sent before
// the nodes have heard of the last of them.
const endsToKnow = 3

// timeToTell is within what all nodes have to know of an end that one of them has seen.
const timeToTell = time.Second

// deadly sends the deadly request once and returns the status of the answer; zero if the connection was closed.
func (f *fleet) deadly(n *node, path string) int {
	answer, _, err := f.requestWith(context.Background(), n, http.MethodPost, path, "key-1", estate.CrashRequestBody)
	if err != nil {
		return 0
	}
	defer answer.Body.Close() //nolint:errcheck // nothing is read
	return answer.StatusCode
}

// able reports whether requests of both kinds can be sent to two endpoints at least.
func (f *fleet) able() bool {
	plain := 0
	for _, w := range f.estate.Workers() {
		if w.Service == "plain" && w.Alive() {
			plain++
		}
	}
	return plain == 2 && len(f.estate.OpenHeads()) >= 2
}

// Seen: a request came again and again, each time as a new attempt and at another node. Each endpoint that began to run it
// ended, 41 of 60 in the end, and the streams of their replica groups broke off. Each attempt kept to its own bounds; the
// logs showed that a connection had ended, not that an endpoint had, and nothing that two attempts had in common.
// Cause: what was known of a request ended with its attempt, and with the node that had served it. Proof: the attempts that
// fail here have the same content, and none is sent to more endpoints than its route allows.
func TestRequestThatEndsEndpointsIsSoonSentToNone(t *testing.T) {
	for _, path := range []string{"/lm/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t)
			for i := 0; f.estate.Crashes() < endsToKnow; i++ {
				f.await("two endpoints of each kind serve", f.able)
				f.deadly(f.nodes[i%len(f.nodes)], path)
			}
			time.Sleep(timeToTell)
			before := f.estate.Crashes()
			qt.Check(t, before <= endsToKnow+1, qt.IsTrue, qt.Commentf("%d endpoints have ended", before))
			for i := range 6 {
				f.await("two endpoints of each kind serve", f.able)
				status := f.deadly(f.nodes[i%len(f.nodes)], path)
				qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
			}
			qt.Check(t, f.estate.Crashes(), qt.Equals, before, qt.Commentf("it still reaches endpoints"))
			f.await("others are served", func() bool { return f.stream(f.nodes[0], "key-1").whole() })
		})
	}
}

// The list of held requests lies in the store: no node remembers anything once all have been killed.
func TestHeldRequestStaysHeldThoughAllNodesAreKilled(t *testing.T) {
	f := newFleet(t)
	for i := 0; f.estate.Crashes() < endsToKnow; i++ {
		f.await("two endpoints of each kind serve", f.able)
		f.deadly(f.nodes[i%len(f.nodes)], "/again/x")
	}
	f.await("the list is kept", func() bool { return f.estate.Store.Has("moorrun-quarantine", "held") })
	before := f.estate.Crashes()
	for _, n := range f.nodes {
		n.kill()
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.await("two endpoints of each kind serve", f.able)
	for _, n := range f.nodes {
		f.await("the node serves", n.isReady)
		f.await("the node holds it back", func() bool { return n.logged("request is held back") > 0 })
		qt.Check(t, f.deadly(n, "/again/x"), qt.Equals, http.StatusServiceUnavailable)
	}
	f.await("others are served", func() bool { return f.stream(f.nodes[0], "key-1").whole() })
	qt.Check(t, f.estate.Crashes(), qt.Equals, before)
}
