// Package admission holds the requests that wait at this node, and starts them on places that the
// model's allocator has granted.
package admission

import (
	"context"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

const (
	askTimeout  = time.Second
	busyEvery   = 100 * time.Millisecond // between reports while requests run, unless the allocator says otherwise
	idleEvery   = time.Second
	restEvery   = time.Hour            // with nothing held, the next request asks by itself
	waitingGap  = 3 * time.Millisecond // between reports while requests wait for a place
	failedPause = 50 * time.Millisecond
	waitingPart = 4 // of the interval, while requests wait
	retryAfter  = time.Second
)

// Admission is this node's queues, one pool a model.
type Admission struct {
	asker  Asker
	choose Chooser

	// LengthOnly bounds queues in length only; a baseline.
	LengthOnly bool

	mu    sync.Mutex
	pools map[string]*pool
	ctx   context.Context //nolint:containedctx // the life of the node, for pools started later
	wg    sync.WaitGroup
}

// New returns the admission of a node; its reporters run until ctx ends.
func New(ctx context.Context, asker Asker, choose Chooser) *Admission {
	return &Admission{asker: asker, choose: choose, pools: make(map[string]*pool), ctx: ctx}
}

// Acquire waits for a place until the request's patience is over or ctx ends. The error is a *Refusal, or
// the context's.
func (a *Admission) Acquire(ctx context.Context, r Request) (*Place, error) {
	p := a.pool(r.Model)
	place, w, refusal := p.enter(r, clock.Now())
	if refusal != nil {
		return nil, refusal
	}
	if place != nil {
		return place, nil
	}
	p.kick()
	timer := time.NewTimer(w.patience)
	defer timer.Stop()
	var settle <-chan time.Time
	if w.choosy {
		settle = time.After(r.PreferWait)
	}
	for {
		select {
		case place := <-w.ready:
			return place, nil
		case <-settle:
			p.settle(r.Workspace, w)
		case <-ctx.Done():
			p.leave(r.Workspace, w)
			return nil, ctx.Err()
		case <-timer.C:
			p.leave(r.Workspace, w)
			return nil, &Refusal{"no place came free within the request's deadline", retryAfter}
		}
	}
}

// Wait returns when the reporters have ended.
func (a *Admission) Wait() { a.wg.Wait() }

func (a *Admission) pool(model string) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pools[model]
	if !ok {
		p = newPool(model, a.choose)
		p.lengthOnly = a.LengthOnly
		a.pools[model] = p
		a.wg.Go(func() { a.report(p) })
	}
	return p
}

// report keeps the allocator informed and puts its grants in force.
func (a *Admission) report(p *pool) {
	wait := time.Duration(0)
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-p.reported:
		case <-time.After(wait):
		}
		var gap time.Duration
		wait, gap = a.ask(p)
		select { // requests that come now are told together
		case <-a.ctx.Done():
			return
		case <-time.After(gap):
		}
	}
}

// ask sends one report and returns how long to wait before the next if no request asks for one, and if one does.
func (a *Admission) ask(p *pool) (wait, gap time.Duration) {
	now := clock.Now()
	r, waiting, busy := p.report(now)
	ctx, cancel := context.WithTimeout(a.ctx, askTimeout)
	defer cancel()
	grant, lifetime, changed, err := a.asker.Ask(ctx, p.model, r)
	if changed {
		p.forget()
	}
	if err != nil {
		return failedPause, waitingGap
	}
	p.apply(grant, now.Add(lifetime), clock.Now())
	interval := max(busyEvery, grant.Interval)
	gap = interval * waitingGap / busyEvery
	switch {
	case waiting:
		return interval / waitingPart, gap
	case busy:
		return interval, gap
	case len(r.Workspaces) > 0:
		return max(idleEvery, interval), gap
	default:
		return restEvery, gap
	}
}

// Waiting returns how many requests wait and run for each model and workspace.
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
