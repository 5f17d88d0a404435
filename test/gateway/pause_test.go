package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// pause is what an endpoint that refuses asks a node for.
	pause = 3 * time.Second
	// pauseKnown is within what the node has to keep it, and pauseMargin how many requests may still reach the endpoint then.
	pauseKnown  = 500 * time.Millisecond
	pauseMargin = 2
)

// within returns how many of the arrivals at most came within the pause that an earlier one was answered with.
func within(arrivals []time.Time) int {
	most := 0
	for i, asked := range arrivals {
		n := 0
		for _, at := range arrivals[i+1:] {
			if since := at.Sub(asked); since > pauseKnown && since < pause {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a node sending on to an endpoint that refuses with Retry-After, which then spends the budget of repeats.
func TestEndpointThatAsksForAPauseGetsNothingMeanwhile(t *testing.T) {
	for _, test := range kinds {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			refusing := test.pick(f)
			before := len(f.estate.Arrivals(refusing.ID))
			refusing.RefuseWithRetryAfter(strconv.Itoa(int(pause.Seconds())))
			ask := func(*node) *result { return test.ask(f, f.nodes[0]) } // a pause concerns the node that was asked
			asked := time.Now()
			failed := f.load(ask, func() bool { return time.Since(asked) > 3*pause })
			arrivals := f.estate.Arrivals(refusing.ID)[before:]
			qt.Check(t, within(arrivals) <= pauseMargin, qt.IsTrue, qt.Commentf("%d arrivals within a pause, allowed %d", within(arrivals), pauseMargin))
			qt.Check(t, len(arrivals) >= 2, qt.IsTrue, qt.Commentf("it is not tried again"))
			qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("requests were not answered though others had room"))
			refusing.Refuse(false)
			again := len(f.estate.Arrivals(refusing.ID))
			usual := func() bool { return len(f.estate.Arrivals(refusing.ID)) > again+20 }
			f.load(ask, usual)
			qt.Check(t, usual(), qt.IsTrue, qt.Commentf("it does not get its usual share again"))
		})
	}
}

// Guards against requests waiting for endpoints that all pause, and against callers being told to come back
// before that.
func TestRequestIsRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.estate.Workers() {
		w.RefuseWithRetryAfter("60")
	}
	for _, path := range []string{"/once/x", "/lm/x"} {
		f.await("no endpoint is asked any more", func() bool {
			before := f.arrivals()
			f.call(f.nodes[0], path, "key-1")
			return f.arrivals() == before
		})
		before := f.arrivals()
		r := f.call(f.nodes[0], path, "key-1")
		qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, seconds > 30, qt.IsTrue, qt.Commentf("come back after %v s", seconds))
		qt.Check(t, f.arrivals(), qt.Equals, before)
	}
}

// arrivals returns how many requests have reached workers.
func (f *fleet) arrivals() int {
	n := 0
	for _, w := range f.estate.Workers() {
		n += len(f.estate.Arrivals(w.ID))
	}
	return n
}
