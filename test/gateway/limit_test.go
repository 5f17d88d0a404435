package gateway

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// limitWindow is the time in which an endpoint may get no more than its limit allows and a margin for what is on its way.
	limitWindow = 4 * time.Second
	limitPart   = 1.5
	limitMargin = 5
	// limitKnown is within what all nodes have to keep to a limit together.
	limitKnown = 3 * time.Second
)

// allowed is how many requests an endpoint of that limit may get in a window.
func allowed(perSecond float64) int {
	return int(limitPart*perSecond*limitWindow.Seconds()) + limitMargin
}

// most returns how many of the arrivals fell into one window at the most, of those windows that end after a time.
func most(arrivals []time.Time, after time.Time) int {
	n := 0
	for i, end := range arrivals {
		if end.Before(after) {
			continue
		}
		first := i
		for first > 0 && end.Sub(arrivals[first-1]) < limitWindow {
			first--
		}
		n = max(n, i-first+1)
	}
	return n
}

const (
	clients     = 9
	clientPause = 100 * time.Millisecond
)

// load lets clients of all nodes send one request after the other until a condition holds, and returns how many requests were
// not answered.
func (f *fleet) load(ask func(n *node) *result, until func() bool) int64 {
	var wg sync.WaitGroup
	var failed atomic.Int64
	end := time.Now().Add(patience)
	for i := range clients {
		wg.Go(func() {
			for !until() && time.Now().Before(end) {
				if r := ask(f.nodes[i%len(f.nodes)]); r.err != nil || r.status >= 300 {
					failed.Add(1)
				}
				time.Sleep(clientPause)
			}
		})
	}
	wg.Wait()
	return failed.Load()
}

// Guards against an endpoint that names a rate limit getting more than that from all nodes together.
func TestEndpointThatNamesALimitGetsNoMoreFromAllNodesTogether(t *testing.T) {
	for _, test := range kinds {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			limited := test.pick(f)
			ask := func(n *node) *result { return test.ask(f, n) }
			limited.AnnounceLimit("2.0")
			known := time.Now().Add(limitKnown)
			failed := f.load(ask, func() bool { return time.Since(known) > 2*limitWindow })
			arrivals := f.estate.Arrivals(limited.ID)
			got := most(arrivals, known)
			qt.Check(t, got <= allowed(2), qt.IsTrue, qt.Commentf("%d arrivals in a window, allowed %d", got, allowed(2)))
			qt.Check(t, arrivals[len(arrivals)-1].After(known), qt.IsTrue, qt.Commentf("it gets nothing any more"))
			qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("requests were not answered though others had room"))
			limited.AnnounceLimit("")
			lifted := time.Now()
			usual := func() bool { return most(f.estate.Arrivals(limited.ID), lifted) > allowed(2) }
			f.load(ask, usual)
			qt.Check(t, usual(), qt.IsTrue, qt.Commentf("it does not get its usual share again"))
		})
	}
}
