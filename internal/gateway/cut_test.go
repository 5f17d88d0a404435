package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/readers"
)

// Guards against a cut caller that operators cannot see, and against counting its endpoint as failed or sending its request again.
func TestCutCallerIsCountedAndLogged(t *testing.T) {
	for path, s := range map[string]script{
		"/stream/a": {head: streamHead, events: []string{"1", "2"}},
		"/again/a":  {head: okHead, body: "answer"},
	} {
		for reason, err := range map[readers.Reason]error{readers.Stalled: readers.ErrStalled, readers.Overdue: readers.ErrOverdue, readers.Memory: readers.ErrMemory} {
			g := newTestGateway()
			x := &exchange{scripts: []script{s}, writeErr: fmt.Errorf("write: %w", err)}
			g.gateway.Serve(context.Background(), &gateway.Request{ID: "r", Host: "h", Path: path, Credential: "key", Model: "m", Received: time.Now()}, x)
			qt.Check(t, x.attempts, qt.HasLen, 1)
			qt.Check(t, g.lastLog.events, qt.Contains, "caller cut")
			qt.Check(t, g.lastLog.loggedInFull, qt.IsTrue)
			counter, ok := g.scope.Snapshot().Counters()["callers_cut+reason="+string(reason)]
			qt.Check(t, ok && counter.Value() == 1, qt.IsTrue, qt.Commentf("%s, %s", path, reason))
		}
	}
}

// Guards against a request that is refused before it is read being left out of the log and the counts of refusals.
func TestRefusalBeforeServingIsCountedAndComesBackLater(t *testing.T) {
	g := newTestGateway()
	x := &exchange{}
	g.gateway.Refuse(&gateway.Request{ID: "r", Received: time.Now()}, x, gateway.Refusal{Reason: gateway.NotRun, RetryAfter: time.Second})
	qt.Check(t, x.refusal.RetryAfter >= time.Second && x.refusal.RetryAfter <= 1250*time.Millisecond, qt.IsTrue)
	qt.Check(t, g.lastLog.events, qt.Contains, "refused")
	qt.Check(t, g.scope.Snapshot().Counters()["requests_refused+reason=not-run"].Value(), qt.Equals, int64(1))
}
