package formation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/route"
)

// fakeEngine refuses every order and remembers it.
type fakeEngine struct {
	mu     sync.Mutex
	orders []Order
}

func (f *fakeEngine) Ask(context.Context, *endpoint.Endpoint) Answer { return Answered }
func (f *fakeEngine) Order(_ context.Context, o Order) Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return Refused
}

func (f *fakeEngine) joins() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string][]string)
	for _, o := range f.orders {
		if o.Kind == Join {
			out[o.Group] = o.Members
		}
	}
	return out
}

func newTestController(e Engine, lease func(time.Time) (int64, time.Time, bool)) *Controller {
	d := endpoint.NewDirectory(time.Second)
	var list []*endpoint.Endpoint
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, &endpoint.Endpoint{ID: id, Service: "lm", Domain: "d"})
	}
	d.Apply(list, nil, origin)
	table := route.NewTable(1, 1, nil, []*route.Service{testService()})
	return NewController(Options{
		Engine: e, Directory: d, Table: func() *route.Table { return table }, Lease: lease,
		Current: func() time.Time { return origin.Add(time.Hour) }, Listed: func() time.Time { return origin.Add(time.Hour) },
		Others: func(time.Time) *gossip.Totals { return gossip.NewTotals() }, Own: func(time.Time) gossip.Status { return gossip.Status{} },
		Busy: func() bool { return false }, Heard: func(context.Context, *endpoint.Endpoint) bool { return true }, Logger: log.NewNopLogger(),
	})
}

func TestListIsSteadyOnlyWhileItHasNotBeenOld(t *testing.T) {
	current := origin
	c := newTestController(&fakeEngine{}, func(time.Time) (int64, time.Time, bool) { return 0, time.Time{}, false })
	c.Current = func() time.Time { return current }
	c.step(context.Background(), origin)
	qt.Check(t, c.steady, qt.Equals, origin)
	c.step(context.Background(), origin.Add(awayFor))
	qt.Check(t, c.steady, qt.Equals, origin)
	c.step(context.Background(), origin.Add(awayFor+time.Millisecond))
	qt.Check(t, c.steady.IsZero(), qt.IsTrue)
	current = origin.Add(time.Minute)
	c.step(context.Background(), current)
	qt.Check(t, c.steady, qt.Equals, current)
}

// TestLapsedLeaseThatIsStillHeldNamesNoGroupTwice: a lease whose renewal was answered late lapses and is then found
// to be held still, with its epoch. A leader that counted from the beginning again gave the names and epochs of
// its first groups to others, and took the members of the first for free.
func TestLapsedLeaseThatIsStillHeldNamesNoGroupTwice(t *testing.T) {
	e := &fakeEngine{}
	now := origin
	held := true
	c := newTestController(e, func(time.Time) (int64, time.Time, bool) {
		if !held {
			return 0, time.Time{}, false
		}
		return 1, time.Now().Add(time.Hour), true
	})
	play := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(tick) {
			c.step(context.Background(), now)
			time.Sleep(time.Millisecond) // orders are given beside the steps
		}
	}
	play(4 * time.Second)
	before := len(e.joins())
	qt.Assert(t, before > 0, qt.IsTrue)
	counter := c.planners["lm"].counter
	held = false
	play(time.Second)
	held = true
	play(4 * time.Second)
	qt.Check(t, c.planners["lm"].counter > counter, qt.IsTrue, qt.Commentf("it counts on"))
	qt.Check(t, len(e.joins()) > before, qt.IsTrue, qt.Commentf("new groups have new names"))
}

// A copy from other nodes may lack the members of groups: it is current and tells too little to form by.
func TestLeaderFormsNothingBeforeTheStoreItselfHasToldIt(t *testing.T) {
	e := &fakeEngine{}
	c := newTestController(e, func(time.Time) (int64, time.Time, bool) { return 1, time.Now().Add(time.Hour), true })
	listed := time.Time{}
	c.Listed = func() time.Time { return listed }
	c.Current = time.Now
	play := func() {
		for now := origin; now.Before(origin.Add(2 * gatherTimeout)); now = now.Add(tick) {
			c.step(context.Background(), now)
		}
		time.Sleep(10 * time.Millisecond) // orders are given beside the steps
	}
	play()
	qt.Check(t, e.joins(), qt.HasLen, 0)
	listed = origin.Add(time.Hour)
	play()
	qt.Check(t, len(e.joins()) > 0, qt.IsTrue)
}

// slowEngine answers after a while and counts how much is under way at once.
type slowEngine struct {
	mu            sync.Mutex
	now, most     int
	orders, asked int
}

func (s *slowEngine) work(count *int) {
	s.mu.Lock()
	s.now++
	*count++
	s.most = max(s.most, s.now)
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	s.now--
	s.mu.Unlock()
}

func (s *slowEngine) Ask(context.Context, *endpoint.Endpoint) Answer {
	s.work(&s.asked)
	return Answered
}
func (s *slowEngine) Order(context.Context, Order) Outcome { s.work(&s.orders); return Taken }

// A fleet that starts has an order for every endpoint, and a new leader a question: they are begun a few at a time, and all
// in the end.
func TestOrdersAndQuestionsAreGivenAFewAtATime(t *testing.T) {
	const endpoints = 1000
	synctest.Test(t, func(t *testing.T) {
		e := &slowEngine{}
		c := newTestController(e, func(time.Time) (int64, time.Time, bool) { return 1, time.Now().Add(time.Hour), true })
		var list []*endpoint.Endpoint
		for i := range endpoints {
			list = append(list, &endpoint.Endpoint{ID: fmt.Sprint("e", i), Service: "lm", Domain: fmt.Sprint("d", i/10)})
		}
		c.Directory.Apply(list, nil, origin)
		p := NewPlanner(1, origin)
		for _, x := range list {
			go c.carryOut(t.Context(), p, Order{Kind: Leave, Endpoint: x})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Check(t, e.orders, qt.Equals, endpoints)
		qt.Check(t, e.most <= ordersAtOnce, qt.IsTrue, qt.Commentf("%d", e.most))
		e.most = 0
		for step := range 20 {
			c.mu.Lock()
			for _, x := range list {
				if k := c.contacts[x.ID]; k == nil || k.Answered.IsZero() {
					c.ask(t.Context(), c.Directory.Read(), x.ID, origin.Add(time.Duration(step)*askEvery))
				}
			}
			c.mu.Unlock()
			time.Sleep(stepEvery)
		}
		synctest.Wait()
		qt.Check(t, e.asked, qt.Equals, endpoints)
		qt.Check(t, e.most <= questionsAtOnce, qt.IsTrue, qt.Commentf("%d", e.most))
	})
}

// TestRetiringDoesNotWaitForAStep: the choice of an endpoint asks for the retiring groups under its own lock, and
// a step asks it for this node's loads.
func TestRetiringDoesNotWaitForAStep(t *testing.T) {
	c := newTestController(&fakeEngine{}, func(time.Time) (int64, time.Time, bool) { return 1, time.Now().Add(time.Hour), true })
	c.Own = func(time.Time) gossip.Status {
		c.Retiring() // a deadlock if it takes the lock of the step
		return gossip.Status{}
	}
	done := make(chan bool)
	go func() { c.step(context.Background(), origin); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a step waits for itself")
	}
}

// silentEngine is one whose endpoints answer nothing until the question is given up.
type silentEngine struct{ fakeEngine }

func (s *silentEngine) Ask(ctx context.Context, _ *endpoint.Endpoint) Answer {
	<-ctx.Done()
	return Silent
}

func TestOthersAreAskedWhileAnEndpointIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(&silentEngine{}, nil)
		began, asked := time.Now(), time.Time{}
		c.Heard = func(context.Context, *endpoint.Endpoint) bool {
			asked = time.Now()
			time.Sleep(askWait)
			return false
		}
		answer, alone := c.askAll(context.Background(), &endpoint.Endpoint{ID: "a"})
		qt.Check(t, answer == Silent && alone, qt.IsTrue)
		qt.Check(t, asked.Sub(began), qt.Equals, askOthersAfter)
		qt.Check(t, time.Since(began), qt.Equals, askOthersAfter+askWait)
	})
}

func TestNobodyElseIsAskedAboutAnEndpointThatAnswers(t *testing.T) {
	c := newTestController(&fakeEngine{}, nil)
	c.Heard = func(context.Context, *endpoint.Endpoint) bool {
		t.Error("asked")
		return true
	}
	answer, alone := c.askAll(context.Background(), &endpoint.Endpoint{ID: "a"})
	qt.Check(t, answer == Answered && !alone, qt.IsTrue)
}

func TestNewLossesAreToldAtOnce(t *testing.T) {
	told := 0
	c := newTestController(&fakeEngine{}, nil)
	c.Told = func() { told++ }
	p := NewPlanner(1, origin)
	c.planners["lm"] = p
	c.tell()
	qt.Check(t, told, qt.Equals, 0)
	p.lostAt["g"] = origin
	c.tell()
	c.tell()
	qt.Check(t, told, qt.Equals, 1)
}
