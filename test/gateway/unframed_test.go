package gateway

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/estate"
)

// answerUnframed makes all endpoints answer with neither a length nor chunks.
func (f *fleet) answerUnframed() {
	for _, w := range f.platform.Workers() {
		w.AnswerUnframed()
	}
}

// Guards against an answer that ends with its connection, with neither a length nor chunks, being taken for a broken one.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	f := newFleet(t)
	f.answerUnframed()
	for i, n := range f.nodes {
		for _, path := range []string{"/once/x", "/again/x"} {
			r := f.call(n, path, "key-1")
			qt.Check(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%d %s", i, path))
			qt.Check(t, r.body, qt.Equals, "whole answer to "+r.id)
			qt.Check(t, f.platform.Runs(r.id), qt.HasLen, 1)
		}
		r := f.stream(n, "key-1")
		qt.Check(t, r.isComplete(), qt.IsTrue, qt.Commentf("status %d, %d events, %v", r.status, len(r.events), r.err))
		qt.Check(t, f.platform.Runs(r.id), qt.HasLen, 1)
	}
}

// Guards against a stream that ends inside an event, without a reset or with one, being taken for a complete one: it goes on at
// another group after its last whole event.
func TestStreamThatEndsInsideAnEventGoesOnElsewhere(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			f := newFleet(t)
			f.answerUnframed()
			broken := f.platform.OpenHeads()[0]
			broken.BreakOffNextUnframed(1, reset)
			f.await("a stream is broken off and goes on elsewhere", func() bool {
				r := f.stream(f.nodes[0], "key-1")
				qt.Assert(t, r.isComplete(), qt.IsTrue, qt.Commentf("status %d, events %q, %v", r.status, r.events, r.err))
				runs := f.platform.Runs(r.id)
				if len(runs) == 1 {
					return false
				}
				qt.Check(t, runs, qt.HasLen, 2)
				qt.Check(t, runs[0].Worker, qt.Equals, broken.ID)
				qt.Check(t, runs[1].After, qt.Equals, fmt.Sprint(estate.EventsPerStream/2))
				return true
			})
		})
	}
}

// Guards against the part of an answer that arrived before a reset being passed on as a whole answer.
func TestUnframedAnswerThatIsResetIsNotPassedOn(t *testing.T) {
	f := newFleet(t)
	f.answerUnframed()
	for _, w := range f.plainWorkers() {
		w.BreakOffNextUnframed(1000, true)
	}
	r := f.call(f.nodes[0], "/once/x", "key-1")
	qt.Check(t, r.status, qt.Equals, http.StatusBadGateway)
	qt.Check(t, f.platform.Runs(r.id), qt.HasLen, 1)
}
