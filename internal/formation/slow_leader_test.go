package formation

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

const (
	slowStepTime   = 5 * time.Millisecond // processor time of a step
	slowAnswerTime = 3 * time.Millisecond // processor time to read an answer
	networkTime    = 10 * time.Millisecond
)

// slowLeader is an engine whose answers need the leader's only processor, as its steps do. Endpoints carry out every order at once.
type slowLeader struct {
	processor chan struct{}
	waiting   atomic.Int32 // steps that wait for the processor
	directory *endpoint.Directory
	mu        sync.Mutex // serialises changes of entries
}

// step occupies the processor for a step. It goes before answers, as the runtime lets a goroutine run next that has just been woken.
func (s *slowLeader) step() {
	s.waiting.Add(1)
	s.processor <- struct{}{}
	s.waiting.Add(-1)
	time.Sleep(slowStepTime)
	<-s.processor
}

// answer occupies the processor to read an answer. It returns false if ctx ends before that.
func (s *slowLeader) answer(ctx context.Context) bool {
	for {
		select {
		case s.processor <- struct{}{}:
		case <-ctx.Done():
			return false
		}
		if s.waiting.Load() == 0 {
			break
		}
		<-s.processor
		time.Sleep(time.Microsecond)
	}
	time.Sleep(slowAnswerTime)
	<-s.processor
	return ctx.Err() == nil
}

func (s *slowLeader) Probe(ctx context.Context, _ *endpoint.Endpoint) ProbeResult {
	time.Sleep(networkTime)
	if !s.answer(ctx) {
		return NoAnswer
	}
	return Answered
}

func (s *slowLeader) Order(ctx context.Context, o Order) Outcome {
	time.Sleep(networkTime)
	s.carryOut(o)
	if !s.answer(ctx) {
		return Unknown
	}
	return Accepted
}

func (s *slowLeader) carryOut(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := *s.directory.Read().Endpoints[o.Endpoint.ID]
	switch o.Kind {
	case Join:
		if e.Membership != nil && e.Membership.Epoch > o.Epoch {
			return
		}
		rank := 0
		for i, id := range o.Members {
			if id == e.ID {
				rank = i
			}
		}
		e.Models, e.Membership = []string{o.Model}, &endpoint.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: endpoint.Ready}
	case Open:
		m := *e.Membership
		m.State = endpoint.Open
		e.Membership = &m
	case Leave:
		e.Membership = nil
	case Stage:
		e.Staged = []string{o.Model}
	}
	e.Revision++
	s.directory.Apply([]*endpoint.Endpoint{&e}, nil, time.Now())
}

// Guards against a short model whose plans fail because the leader, kept in steps by every answer, takes live endpoints for silent.
func TestSlowLeaderLosesNoPlan(t *testing.T) {
	const domains, size = 24, 12
	synctest.Test(t, func(t *testing.T) {
		engine := &slowLeader{processor: make(chan struct{}, 1)}
		c := newTestController(engine, func(time.Time) (int64, time.Time, bool) { return 1, time.Now().Add(time.Hour), true })
		engine.directory = c.Directory
		var all []*endpoint.Endpoint
		for i := range domains * size {
			all = append(all, &endpoint.Endpoint{ID: fmt.Sprint("e", i), Service: "lm", Domain: fmt.Sprint("d", i/size), Models: []string{"big"}, Staged: []string{"small"}})
		}
		c.Directory.Apply(all, []string{"a", "b", "c"}, time.Now())
		c.CurrentAsOf, c.ListedAsOf = time.Now, time.Now
		c.Busy = func() bool { return true }
		demand := newDemand()
		demand.since, demand.updated, demand.requests["big"], demand.requests["small"] = time.Now(), time.Now().Add(time.Hour), 2000, 1
		c.demands["lm"] = demand
		table := c.Table()
		c.Table = func() *route.Table {
			engine.step()
			return table
		}
		failed := 0
		c.OnPlanFailed = func(PlanFailure, int, time.Duration) { failed++ }
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		qt.Check(t, c.Run(ctx), qt.IsNil)
		open := 0
		for _, g := range c.Directory.Read().Groups {
			if g.Model == "big" && g.Head != nil && g.Head.Membership.State == endpoint.Open {
				open++
			}
		}
		qt.Check(t, failed, qt.Equals, 0, qt.Commentf("plans failed though every endpoint carries out every order"))
		qt.Check(t, open, qt.Equals, domains*size/3)
		time.Sleep(time.Second) // orders in progress end
	})
}
