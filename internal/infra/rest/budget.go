package rest

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of the calls that one process makes to the object API. Calls marked with
// Urgent have a reserve of their own, so that other calls cannot starve lease renewals.
type Budget struct {
	reads, writes             *rate.Limiter
	urgentReads, urgentWrites *rate.Limiter
}

type urgentKey struct{}

// Urgent returns a context that marks calls as lease renewals, which may use the reserve.
func Urgent(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgentKey{}, true)
}

// NewBudget returns a Budget that allows the given numbers of reads and writes per second, with bursts of
// two seconds' worth of calls, and a reserve of a further quarter of both rates for urgent calls.
func NewBudget(readsPerSecond, writesPerSecond float64) *Budget {
	limiter := func(r float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(r), int(2*r)+1) }
	return &Budget{
		reads: limiter(readsPerSecond), writes: limiter(writesPerSecond),
		urgentReads: limiter(readsPerSecond / 4), urgentWrites: limiter(writesPerSecond / 4),
	}
}

func (b *Budget) read(ctx context.Context) error  { return waitForToken(ctx, b.reads, b.urgentReads) }
func (b *Budget) write(ctx context.Context) error { return waitForToken(ctx, b.writes, b.urgentWrites) }

// waitForToken takes a token from common. Urgent calls take it from urgent if common has none left.
func waitForToken(ctx context.Context, common, urgent *rate.Limiter) error {
	if ctx.Value(urgentKey{}) == nil {
		return common.Wait(ctx)
	}
	if common.AllowN(time.Now(), 1) {
		return nil
	}
	return urgent.Wait(ctx)
}
