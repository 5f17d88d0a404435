package integration

import (
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

// Guards against each node giving a plain endpoint as many calls at a time as it takes from all of them.
func TestPlainEndpointGetsNoMoreCallsAtATimeThanItTakes(t *testing.T) {
	const (
		places  = 16 // of each endpoint, in the example's configuration
		callers = 8 * places
		takesMS = 500
	)
	f := newFleet(t)
	for _, p := range f.PlainEndpoints {
		p.DelayMillis.Store(takesMS)
	}
	gifts := lab.NewCaller("gifts-caller-token")
	var calls sync.WaitGroup
	for i := range callers {
		calls.Go(func() {
			reply := gifts.CallService(f.address(i%len(f.nodes)), http.MethodPost, receiptPath, "m", "", "100 kr")
			f.Check(reply.Status, qt.Equals, http.StatusOK)
		})
	}
	calls.Wait()
	for name, p := range f.PlainEndpoints {
		f.Check(p.MaxConcurrent() <= places, qt.IsTrue, qt.Commentf("%s had %d calls at a time, takes %d", name, p.MaxConcurrent(), places))
	}
}
