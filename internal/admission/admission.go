// Package admission queues the requests that wait at this node, and starts them on the places that the model's
// allocator has granted. A place lets one request run on a replica group.
package admission

import (
	"context"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

const (
	reportTimeout  = time.Second
	busyInterval   = 100 * time.Millisecond // between reports while requests run; the allocator may request a longer interval
	idleInterval   = time.Second            // between reports after idleAfter without requests, while places are still held
	emptyInterval  = time.Hour              // while there is no demand and no place; the next request triggers a report
	minReportGap   = 3 * time.Millisecond   // minimum between reports at busyInterval; grows with the interval
	retryDelay     = 50 * time.Millisecond  // after a failed report
	waitingDivisor = 4                      // while requests wait, reports are this many times as frequent
	retryAfter     = time.Second            // base of the wait that a refusal suggests before a retry
	longWait       = time.Second            // after which OnLongWait is called for a request
)

// Admission holds this node's queues, in one pool for each model.
type Admission struct {
	client  AllocatorClient
	chooser Chooser

	// LengthOnly bounds queues only by length, not by expected wait. It is a baseline for comparison.
	LengthOnly bool
	// OnLongWait is called for a request that has waited for a second; it must not block. It may be nil.
	OnLongWait func(w LongWait)

	mu    sync.Mutex
	pools map[string]*pool
	ctx   context.Context //nolint:containedctx // ends with the node; used by the reporters of pools created later
	wg    sync.WaitGroup
}

// New returns an Admission; its reporters run until ctx ends.
func New(ctx context.Context, client AllocatorClient, chooser Chooser) *Admission {
	return &Admission{client: client, chooser: chooser, pools: make(map[string]*pool), ctx: ctx}
}

// Acquire waits for a place until the request's timeout or until ctx ends. The error is a *Refusal or ctx.Err().
func (a *Admission) Acquire(ctx context.Context, r Request) (*Place, error) {
	p := a.pool(r.Model)
	place, w, refusal := p.enter(r, clock.Now())
	if refusal != nil {
		return nil, refusal
	}
	if place != nil {
		return place, nil
	}
	p.triggerReport()
	timer := time.NewTimer(w.maxWait)
	defer timer.Stop()
	long := time.NewTimer(longWait)
	defer long.Stop()
	var preferTimeout <-chan time.Time
	if w.onlyPreferred {
		preferTimeout = time.After(r.PreferWait)
	}
	for {
		select {
		case place := <-w.ready:
			return place, nil
		case <-preferTimeout:
			p.allowAnyGroup(r.Workspace, w)
		case <-long.C:
			if a.OnLongWait != nil {
				a.OnLongWait(p.describeWait(r.Workspace, clock.Now()))
			}
		case <-ctx.Done():
			p.abandon(r.Workspace, w)
			return nil, ctx.Err()
		case <-timer.C:
			p.abandon(r.Workspace, w)
			return nil, &Refusal{"no place came free within the request's deadline", retryAfter}
		}
	}
}

// Wait blocks until the reporters have ended.
func (a *Admission) Wait() { a.wg.Wait() }

// pool returns the model's pool; a new pool gets its own reporter.
func (a *Admission) pool(model string) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pools[model]
	if !ok {
		p = newPool(model, a.chooser)
		p.lengthOnly = a.LengthOnly
		a.pools[model] = p
		a.wg.Go(func() { a.runReporter(p) })
	}
	return p
}

// runReporter reports the pool's demand to the allocator and applies the grants until the node ends.
func (a *Admission) runReporter(p *pool) {
	wait := time.Duration(0)
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-p.reportNow:
		case <-time.After(wait):
		}
		var gap time.Duration
		wait, gap = a.sendReport(p)
		select { // requests that arrive in the meantime share one report
		case <-a.ctx.Done():
			return
		case <-time.After(gap):
		}
	}
}

// sendReport sends one report and returns when the next one is due: after wait, or earlier if a request triggers
// it, but not before gap has passed.
func (a *Admission) sendReport(p *pool) (wait, gap time.Duration) {
	now := clock.Now()
	r, waiting, busy := p.report(now)
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	grant, lifetime, changed, err := a.client.Ask(ctx, p.model, r)
	if changed {
		p.resetGrant()
	}
	p.recordReport(clock.Now(), err)
	if err != nil {
		p.dispatchAll(clock.Now())
		return retryDelay, minReportGap
	}
	p.apply(grant, now.Add(lifetime), clock.Now())
	interval := max(busyInterval, grant.Interval)
	gap = interval * minReportGap / busyInterval
	switch {
	case waiting:
		return interval / waitingDivisor, gap
	case busy:
		return interval, gap
	case len(r.Workspaces) > 0:
		return max(idleInterval, interval), gap
	default:
		return emptyInterval, gap
	}
}

// Waiting returns the numbers of waiting and running requests and of places for each model and workspace.
func (a *Admission) Waiting() []Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Load
	for model, p := range a.pools {
		p.mu.Lock()
		for workspace, q := range p.queues {
			out = append(out, Load{model, workspace, q.waiting.Len(), q.running(), q.places()})
		}
		p.mu.Unlock()
	}
	return out
}
