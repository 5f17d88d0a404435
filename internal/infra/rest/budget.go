package rest

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds the calls one process makes to the object API. Calls marked urgent with
// Urgent have a share of their own, so that lease renewal is never starved by the rest.
type Budget struct {
	reads, writes             *rate.Limiter
	urgentReads, urgentWrites *rate.Limiter
}

type urgentKey struct{}

// Urgent marks the calls made with the returned context as lease renewals.
func Urgent(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgentKey{}, true)
}

// NewBudget allows that many reads and writes a second, with bursts of two seconds' worth,
// and a quarter as much again for urgent calls.
func NewBudget(readsPerSecond, writesPerSecond float64) *Budget {
	limiter := func(r float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(r), int(2*r)+1) }
	return &Budget{
		reads: limiter(readsPerSecond), writes: limiter(writesPerSecond),
		urgentReads: limiter(readsPerSecond / 4), urgentWrites: limiter(writesPerSecond / 4),
	}
}

func (b *Budget) read(ctx context.Context) error  { return pay(ctx, b.reads, b.urgentReads) }
func (b *Budget) write(ctx context.Context) error { return pay(ctx, b.writes, b.urgentWrites) }

func pay(ctx context.Context, common, urgent *rate.Limiter) error {
	if ctx.Value(urgentKey{}) == nil {
		return common.Wait(ctx)
	}
	if common.AllowN(time.Now(), 1) {
		return nil
	}
	return urgent.Wait(ctx)
}
