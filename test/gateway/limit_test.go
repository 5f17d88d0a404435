package gateway

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// limitWindow is the length of the window in which arrivals are counted. In any window an endpoint may receive limitFactor
	// times what its limit allows, plus limitMargin requests that were already in flight.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitMargin = 5
	// limitLatency is the time within which all nodes together have to keep to a new limit.
	limitLatency = 3 * time.Second
)

// allowed returns the maximum number of requests that an endpoint with the given limit may receive in a window.
func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitMargin
}

// peakArrivals returns the highest number of arrivals in any window that ends after the given time.
func peakArrivals(arrivals []time.Time, after time.Time) int {
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
	clients         = 9
	requestInterval = 100 * time.Millisecond
)

// load runs clients that each send one request after another to one of the nodes until a condition holds, and returns the
// number of requests that failed.
func (f *fleet) load(send func(n *node) *result, done func() bool) int64 {
	var wg sync.WaitGroup
	var failed atomic.Int64
	end := time.Now().Add(waitTimeout)
	for i := range clients {
		wg.Go(func() {
			for !done() && time.Now().Before(end) {
				if r := send(f.nodes[i%len(f.nodes)]); r.err != nil || r.status >= 300 {
					failed.Add(1)
				}
				time.Sleep(requestInterval)
			}
		})
	}
	wg.Wait()
	return failed.Load()
}

// Guards against all nodes together sending an endpoint more requests than the rate limit that it sets.
func TestEndpointThatNamesALimitGetsNoMoreFromAllNodesTogether(t *testing.T) {
	for _, test := range endpointKinds {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			limited := test.pick(f)
			send := func(n *node) *result { return test.send(f, n) }
			limited.AnnounceLimit("2.0")
			inForce := time.Now().Add(limitLatency)
			failed := f.load(send, func() bool { return time.Since(inForce) > 2*limitWindow })
			arrivals := f.platform.Arrivals(limited.ID)
			got := peakArrivals(arrivals, inForce)
			qt.Check(t, got <= allowed(2), qt.IsTrue, qt.Commentf("%d arrivals in a window, allowed %d", got, allowed(2)))
			qt.Check(t, arrivals[len(arrivals)-1].After(inForce), qt.IsTrue, qt.Commentf("the limited endpoint receives no requests any more"))
			qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("requests failed although other endpoints had capacity"))
			limited.AnnounceLimit("")
			lifted := time.Now()
			restored := func() bool { return peakArrivals(f.platform.Arrivals(limited.ID), lifted) > allowed(2) }
			f.load(send, restored)
			qt.Check(t, restored(), qt.IsTrue, qt.Commentf("the endpoint does not regain its usual share"))
		})
	}
}
