package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/allocator"
)

// fixedAllocator grants fixed places, and reports every group as usable.
type fixedAllocator struct{ limits []allocator.Places }

// Ask implements AllocatorClient.
func (g fixedAllocator) Ask(context.Context, string, allocator.Report) (allocator.Grant, time.Duration, bool, error) {
	return allocator.Grant{Number: 1, Workspaces: []allocator.WorkspaceGrant{{Workspace: "w", Limits: g.limits}}}, time.Minute, false, nil
}

// Usable implements Chooser.
func (fixedAllocator) Usable(string, int64, time.Time) bool { return true }

// Ejected implements Chooser.
func (fixedAllocator) Ejected(string, time.Time) []allocator.Ref { return nil }

// TakeSpeeds implements Chooser.
func (fixedAllocator) TakeSpeeds(string, time.Time) []allocator.Speed { return nil }

func newAdmission(t *testing.T, limits ...allocator.Places) *Admission {
	ctx, cancel := context.WithCancel(context.Background())
	g := fixedAllocator{limits}
	a := New(ctx, g, g)
	t.Cleanup(func() { cancel(); a.Wait() })
	return a
}

func acquire(t *testing.T, a *Admission, r Request) *Place {
	r.Model, r.Workspace = "m", "w"
	if r.Timeout == 0 {
		r.Timeout = time.Minute
	}
	p, err := a.Acquire(context.Background(), r)
	qt.Assert(t, err, qt.IsNil)
	return p
}

// waitForQueued blocks until n requests wait.
func waitForQueued(a *Admission, n int) {
	for len(a.Waiting()) == 0 || a.Waiting()[0].Waiting != n {
		time.Sleep(time.Millisecond)
	}
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	a := newAdmission(t, allocator.Places{Group: "g", Birth: 1, Count: 1})
	held := acquire(t, a, Request{})
	order := make(chan int, 3)
	for i, priority := range []int{3, 5, 9} {
		go func() {
			p := acquire(t, a, Request{Priority: priority})
			order <- priority
			p.Release(true)
		}()
		waitForQueued(a, i+1)
	}
	held.Release(true)
	qt.Assert(t, []int{<-order, <-order, <-order}, qt.DeepEquals, []int{9, 5, 3})
}

func TestPreferredGroupIsTakenWhenFree(t *testing.T) {
	a := newAdmission(t, allocator.Places{Group: "a", Birth: 1, Count: 4}, allocator.Places{Group: "b", Birth: 1, Count: 1})
	acquire(t, a, Request{}).Release(true) // waits until the grant is applied
	prefer := allocator.Ref{Group: "b", Birth: 1}
	first := acquire(t, a, Request{Prefer: prefer, PreferWait: time.Minute})
	qt.Assert(t, first.Group, qt.Equals, "b")
	second := acquire(t, a, Request{Prefer: prefer, PreferWait: time.Millisecond})
	qt.Assert(t, second.Group, qt.Equals, "a", qt.Commentf("the preferred group is waited for no longer than PreferWait"))
	first.Release(true)
	second.Release(true)
}

func TestRequestThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	a := newAdmission(t, allocator.Places{Group: "g", Birth: 1, Count: 1})
	held := acquire(t, a, Request{})
	p := a.pool("m")
	p.mu.Lock()
	p.queues["w"].meanHold = time.Hour // as if requests kept their places for an hour on average
	p.mu.Unlock()
	_, err := a.Acquire(context.Background(), Request{Model: "m", Workspace: "w", Timeout: time.Minute})
	var refusal *Refusal
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
	qt.Assert(t, refusal.RetryAfter > 0, qt.IsTrue)
	held.Release(true)
}

func TestRequestThatGivesUpLeavesItsPlaceToTheNext(t *testing.T) {
	a := newAdmission(t, allocator.Places{Group: "g", Birth: 1, Count: 1})
	held := acquire(t, a, Request{})
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error)
	go func() {
		_, err := a.Acquire(ctx, Request{Model: "m", Workspace: "w", Timeout: time.Minute})
		gone <- err
	}()
	waitForQueued(a, 1)
	cancel()
	qt.Assert(t, <-gone, qt.Equals, context.Canceled)
	held.Release(true)
	acquire(t, a, Request{}).Release(true)
}

// Guards against refused callers that are all told the same time although it is known when places become free, and against times beyond
// what their deadline allows.
func TestRefusedCallersAreSpreadOverTheReleases(t *testing.T) {
	a := newAdmission(t, allocator.Places{Group: "g", Birth: 1, Count: 1})
	for range 20 {
		acquire(t, a, Request{}).Release(true)
	}
	held := acquire(t, a, Request{})
	p := a.pool("m")
	p.mu.Lock()
	p.queues["w"].meanHold = time.Hour // as if requests kept their places for an hour on average
	p.mu.Unlock()
	last := time.Duration(0)
	for range 5 {
		_, err := a.Acquire(context.Background(), Request{Model: "m", Workspace: "w", Timeout: time.Minute})
		var refusal *Refusal
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
		qt.Check(t, refusal.RetryAfter > last && refusal.RetryAfter <= 20*time.Second, qt.IsTrue, qt.Commentf("%s after %s", refusal.RetryAfter, last))
		last = refusal.RetryAfter
	}
	held.Release(true)
}
