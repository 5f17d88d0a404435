package readers

import (
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrFull is returned for a new request when the budget has no room for it.
	ErrFull = errors.New("the node holds as much for requests as its memory allows")
	// ErrTooLarge is returned for data that exceeds what one request may hold.
	ErrTooLarge = errors.New("the request holds more than a part of the node's memory")
	// ErrMemory is the error of a write to a caller that was cut because the budget was exceeded and no other caller had read
	// nothing for longer.
	ErrMemory = errors.New("the caller was not reading while the node's memory was full and is cut")
)

// Budget bounds the bytes that a node holds for callers and endpoints: request bodies, answers read whole, and events that
// have not been written. Beyond it new requests are refused, and the callers that have read nothing for the longest time are
// cut until what they hold makes room. Data of requests that have run is held even beyond it, because to drop it would lose
// the work of an endpoint.
type Budget struct {
	total, perRequest int64 // in bytes; 0 is no limit
	held              atomic.Int64

	mu      sync.Mutex
	waits   map[*Wait]struct{}
	leaving int64 // bytes held for callers that were cut and whose requests have not ended yet
}

// NewBudget returns a Budget of total bytes, of which one request may hold perRequest. 0 is no limit.
func NewBudget(total, perRequest int64) *Budget {
	return &Budget{total: total, perRequest: perRequest, waits: make(map[*Wait]struct{})}
}

// Held returns the bytes held for all requests.
func (b *Budget) Held() int64 { return b.held.Load() }

// Account is what the node holds for one request. Its methods are for one goroutine at a time.
type Account struct {
	budget  *Budget
	held    atomic.Int64
	cut     bool  // its caller was cut; protected by budget.mu
	leaving int64 // its part of budget.leaving; protected by budget.mu
}

// Open begins the account of a new request, which holds n bytes at once. It returns ErrFull if the budget has no room.
func (b *Budget) Open(a *Account, n int) error {
	a.budget = b
	return a.Hold(n)
}

// Hold counts n bytes more for a request that has not run. It returns ErrFull or ErrTooLarge, and counts nothing, if they
// exceed the budget or the request's part.
func (a *Account) Hold(n int) error {
	if a.exceeds(n) {
		return ErrTooLarge
	}
	b := a.budget
	if held := b.held.Add(int64(n)); b.total > 0 && held > b.total {
		b.held.Add(-int64(n))
		b.relieve(int64(n))
		return ErrFull
	}
	a.held.Add(int64(n))
	return nil
}

// Take counts n bytes more for a request that may have run, also beyond the budget. It returns ErrTooLarge, and counts nothing,
// if they exceed the request's part.
func (a *Account) Take(n int) error {
	if a.exceeds(n) {
		return ErrTooLarge
	}
	b := a.budget
	a.held.Add(int64(n))
	if held := b.held.Add(int64(n)); b.total > 0 && held > b.total {
		b.relieve(0)
	}
	return nil
}

// smallAnswer is the size in bytes up to which an answer is held beyond the budget.
const smallAnswer = 64 << 10

// TakePart counts n bytes more of an answer, of which held bytes are counted already. A small answer is held as by Take; of a longer one,
// which may have no end, more is held only while the budget has room, as by Hold.
func (a *Account) TakePart(held, n int) error {
	if held+n <= smallAnswer {
		return a.Take(n)
	}
	return a.Hold(n)
}

func (a *Account) exceeds(n int) bool {
	limit := a.budget.perRequest
	return limit > 0 && a.held.Load()+int64(n) > limit
}

// Room returns how many bytes more the request may hold, at most limit.
func (a *Account) Room(limit int) int {
	if a.budget.perRequest <= 0 {
		return limit
	}
	return int(min(max(0, a.budget.perRequest-a.held.Load()), int64(limit)))
}

// Release counts n bytes less.
func (a *Account) Release(n int) {
	if n == 0 {
		return
	}
	b := a.budget
	a.held.Add(-int64(n))
	b.held.Add(-int64(n))
	if b.total > 0 {
		a.releaseLeaving(int64(n))
	}
}

// releaseLeaving counts up to n bytes less as leaving. What a request takes after its caller was cut is not counted as
// leaving, so its releases may exceed what is.
func (a *Account) releaseLeaving(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.leaving)
	a.leaving -= n
	b.leaving -= n
}

// Close releases all that the request holds.
func (a *Account) Close() {
	a.Release(int(a.held.Load()))
	if a.budget.total > 0 {
		a.releaseLeaving(math.MaxInt64)
	}
}

// Wait is a caller that has accepted nothing for some time.
type Wait struct {
	account  *Account
	cut      func()
	progress time.Time // when it last accepted bytes; protected by the budget's mutex
}

// Await adds a caller that has accepted nothing since progress to those that may be cut. cut is called at most once, before End
// returns, and must not block.
func (a *Account) Await(progress time.Time, cut func()) *Wait {
	w := &Wait{account: a, cut: cut, progress: progress}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waits[w] = struct{}{}
	return w
}

// Accepted records that the caller has accepted bytes.
func (w *Wait) Accepted(now time.Time) {
	b := w.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	w.progress = now
}

// End removes the caller from those that may be cut.
func (w *Wait) End() {
	b := w.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waits, w)
}

// relieve cuts the callers that have read nothing for the longest time until the budget has room for n bytes more once they
// have gone, or until none is left that does not read.
func (b *Budget) relieve(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.held.Load()-b.leaving+n > b.total {
		w := b.longest()
		if w == nil {
			return
		}
		delete(b.waits, w)
		if a := w.account; !a.cut {
			a.cut, a.leaving = true, a.held.Load()
			b.leaving += a.leaving
		}
		w.cut()
	}
}

func (b *Budget) longest() *Wait {
	var longest *Wait
	for w := range b.waits {
		if longest == nil || w.progress.Before(longest.progress) {
			longest = w
		}
	}
	return longest
}

// ComeBack returns when a caller refused with ErrFull should come back: at most the bound later, when each caller that reads
// nothing now has been cut. Callers wait at most a third of the time that they have; a quarter leaves room for jitter. A zero
// remaining is unknown.
func (s Stall) ComeBack(remaining time.Duration) time.Duration {
	if remaining > 0 {
		return min(s.Bound, remaining/4)
	}
	return s.Bound
}
