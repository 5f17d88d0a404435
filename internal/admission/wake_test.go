package admission

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/allocator"
)

// unreliableAllocator grants one place of a group, and answers only the first report.
type unreliableAllocator struct {
	fixedAllocator
	asked  atomic.Int64
	usable atomic.Bool
}

var errNoAnswer = errors.New("no answer")

// Ask implements AllocatorClient.
func (u *unreliableAllocator) Ask(ctx context.Context, model string, r allocator.Report) (allocator.Grant, time.Duration, bool, error) {
	if u.asked.Add(1) > 1 {
		return allocator.Grant{}, 0, false, errNoAnswer
	}
	return u.fixedAllocator.Ask(ctx, model, r)
}

// Usable implements Chooser.
func (u *unreliableAllocator) Usable(string, int64, time.Time) bool { return u.usable.Load() }

// Guards against a request that waits although it has a place: the group of a valid grant becomes usable while the allocator
// does not answer, and nothing looked at the queue until it did.
func TestRequestStartsWhenItsGroupBecomesUsableWhileTheAllocatorIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &unreliableAllocator{fixedAllocator: fixedAllocator{[]allocator.Places{{Group: "g", Birth: 1, Count: 1}}}}
		ctx, cancel := context.WithCancel(context.Background())
		a := New(ctx, u, u)
		waits := 0
		a.OnLongWait = func(w LongWait) {
			waits++
			qt.Check(t, w.Places, qt.Equals, 1)
			qt.Check(t, w.Usable, qt.Equals, 0)
			qt.Check(t, w.ReportErr, qt.Equals, errNoAnswer)
		}
		time.AfterFunc(3*time.Second, func() { u.usable.Store(true) })
		began := time.Now()
		place, err := a.Acquire(ctx, Request{Model: "m", Workspace: "w", Timeout: 30 * time.Second})
		waited := time.Since(began)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, waited < 4*time.Second, qt.IsTrue, qt.Commentf("it waited for %s", waited))
		qt.Check(t, waits, qt.Equals, 1)
		if place != nil {
			place.Release(true)
		}
		cancel()
		a.Wait()
	})
}
