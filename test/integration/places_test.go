package integration

import (
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

// Guards against nodes exceeding a plain endpoint's limit of concurrent calls together because each node counts only
// its own calls.
func TestPlainEndpointGetsNoMoreCallsAtATimeThanItTakes(t *testing.T) {
	const (
		places        = 16 // of each endpoint in examples/gjafabru
		callers       = 8 * places
		answerDelayMS = 500
	)
	f := newFleet(t)
	for _, p := range f.PlainEndpoints {
		p.DelayMillis.Store(answerDelayMS)
	}
	gifts := lab.NewCaller("gifts-caller-token")
	var calls sync.WaitGroup
	for i := range callers {
		calls.Go(func() {
			reply := gifts.CallService(f.callerAddress(i%len(f.nodes)), http.MethodPost, receiptPath, "m", "", "100 kr")
			f.Check(reply.Status, qt.Equals, http.StatusOK)
		})
	}
	calls.Wait()
	for name, p := range f.PlainEndpoints {
		f.Check(p.MaxConcurrent() <= places, qt.IsTrue, qt.Commentf("%s ran %d concurrent calls, its limit is %d", name, p.MaxConcurrent(), places))
	}
}
