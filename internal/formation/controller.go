package formation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/route"
)

const (
	stepEvery = 60 * time.Millisecond
	// FreshEnough is how old the copy of the endpoints' list may be for decisions.
	FreshEnough = 2500 * time.Millisecond
	// awayFor is how old the copy may get until the store counts as having been away. It is less than the age from which
	// package follow holds removals back.
	awayFor = 2 * time.Second
	// askEvery is the least time between two questions to one endpoint.
	askEvery = 250 * time.Millisecond
	askWait  = 300 * time.Millisecond
	// askOthersAfter is how late an endpoint's answer has to be for the other nodes to be asked beside it: live ones answer
	// within some ten milliseconds. A lost member is known 200 ms sooner than if the others were asked after askWait.
	askOthersAfter = 80 * time.Millisecond
	orderWait      = 700 * time.Millisecond
	// ordersAtOnce and questionsAtOnce bound the orders and questions that are under way. The leader of a fleet that starts has
	// an order for every endpoint, and a new leader a question: thousands begun at once are all late, and so is the renewal of
	// the lease, which takes its turn on the processor with them.
	ordersAtOnce    = 128
	questionsAtOnce = 128
	// forgetContact is how long what asking has shown is kept.
	forgetContact = 30 * time.Second
)

// Controller carries out the plans while this node leads.
type Controller struct {
	Options

	// Read without the lock: those who ask may hold locks that steps need.
	retiring, lost atomic.Pointer[[]string]

	mu       sync.Mutex
	epoch    int64               // of the last tenure
	planners map[string]*Planner // by service
	contacts map[string]*contact
	asking   int           // questions under way
	ordering chan struct{} // holds one for each order under way
	busy     bool
	steady   time.Time // since when the list has been current without a long pause; zero if it is not
	wake     chan struct{}
}

// contact is what is known from asking one endpoint.
type contact struct {
	Contact
	asked  time.Time
	asking bool
}

// NewController returns a Controller.
func NewController(o Options) *Controller {
	return &Controller{Options: o, planners: make(map[string]*Planner), contacts: make(map[string]*contact), ordering: make(chan struct{}, ordersAtOnce), wake: make(chan struct{}, 1)}
}

// Wake makes the controller look at once.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run plans until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	loop.EveryOr(ctx, stepEvery, c.wake, func(now time.Time) { c.step(ctx, now) })
	return nil
}

// Leads returns the epoch of this node's lease, or 0.
func (c *Controller) Leads(now time.Time) int64 {
	epoch, _, ok := c.Lease(now)
	if !ok {
		return 0
	}
	return epoch
}

// Retiring returns the groups that the plans of this tenure are about to end.
func (c *Controller) Retiring() []string { return told(&c.retiring) }

// Lost returns the groups that this tenure has lately found to have lost a member.
func (c *Controller) Lost() []string { return told(&c.lost) }

func told(list *atomic.Pointer[[]string]) []string {
	if names := list.Load(); names != nil {
		return *names
	}
	return nil
}

// tell notes what Retiring and Lost return.
func (c *Controller) tell() {
	var retiring, lost []string
	for _, p := range c.planners {
		retiring = append(retiring, p.Retiring()...)
		lost = append(lost, p.Lost()...)
	}
	gained := anyNew(c.Retiring(), retiring) || anyNew(c.Lost(), lost)
	c.retiring.Store(&retiring)
	c.lost.Store(&lost)
	if gained && c.Told != nil {
		c.Told()
	}
}

// anyNew reports whether any of the names was not among those before.
func anyNew(before, names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(before, name) })
}

func (c *Controller) step(ctx context.Context, now time.Time) {
	table := c.Table()
	epoch, until, ok := c.Lease(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok && epoch != c.epoch {
		c.epoch = epoch // a lease that lapsed and was found to be held still is the same tenure
		clear(c.planners)
	}
	defer c.tell()
	c.noteAge(now)
	if !ok || table == nil || now.Sub(c.Listed()) > FreshEnough || until.Sub(now) < orderWait {
		return
	}
	for _, s := range table.Engines() {
		p := c.planners[s.Name]
		if p == nil {
			p = NewPlanner(epoch, now)
			p.Note = c.note
			c.planners[s.Name] = p
		}
		v := c.view(s, now)
		orders, ask := p.Step(v)
		for _, o := range orders {
			go c.carryOut(ctx, p, o)
		}
		for _, id := range ask {
			c.ask(ctx, v.Snapshot, id, now)
		}
	}
	for id, k := range c.contacts {
		if now.Sub(k.asked) > forgetContact {
			delete(c.contacts, id)
		}
	}
}

// noteAge notes whether the copy of the endpoints' list has been old.
func (c *Controller) noteAge(now time.Time) {
	switch {
	case now.Sub(c.Current()) > awayFor:
		c.steady = time.Time{}
	case c.steady.IsZero():
		c.steady = now
	}
}

func (c *Controller) note(event, group string, pairs ...any) {
	_ = level.Info(c.Logger).Log(append([]any{"msg", event, "group", group, "tenure", c.epoch}, pairs...)...)
}

func (c *Controller) view(s *route.Service, now time.Time) *View {
	v := &View{
		Now: now, AsOf: c.Listed(), Steady: c.steady, Beat: c.Beat, Service: s, Snapshot: c.Directory.Read(), Contacts: make(map[string]Contact),
		Loads: make(map[string]int), Suspects: make(map[string]bool), Demand: make(map[string]int),
		Mixes: make(map[string]engine.Mix),
	}
	for id, k := range c.contacts {
		v.Contacts[id] = k.Contact
	}
	total := gossip.NewTotals()
	total.AddTotals(c.Others(now))
	own := c.Own(now)
	total.Add(&own)
	for id := range v.Snapshot.Endpoints {
		if n := total.Loads.At(id); n > 0 {
			v.Loads[id] = n
		}
	}
	for model, d := range total.Demands {
		v.Demand[model] = d.Running + d.Waiting
		v.Mixes[model] = d.Mix
	}
	for group := range total.Suspects {
		v.Suspects[group] = true
	}
	c.busy = c.busy || c.Busy() || len(total.Loads) > 0
	v.Busy = c.busy
	return v
}

// carryOut gives one order when it is its turn, unless the lease has ended meanwhile.
func (c *Controller) carryOut(ctx context.Context, p *Planner, o Order) {
	select {
	case c.ordering <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-c.ordering }()
	if c.Leads(clock.Now()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	sent := clock.Now()
	outcome := c.Engine.Order(ctx, o)
	_ = level.Info(c.Logger).Log("msg", "order", "kind", o.Kind.String(), "group", o.Group, "epoch", o.Epoch, "model", o.Model,
		"endpoint", o.Endpoint.ID, "outcome", outcome.String(), "ms", clock.Since(sent).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	p.RecordOutcome(o, outcome, clock.Now())
	if outcome != Unknown {
		c.Wake()
	}
}

// ask asks an endpoint directly, and the other nodes when it does not answer.
func (c *Controller) ask(ctx context.Context, snapshot *endpoint.Snapshot, id string, now time.Time) {
	k := c.contacts[id]
	if k == nil {
		k = &contact{}
		c.contacts[id] = k
	}
	e := snapshot.Endpoints[id]
	if gone, ok := snapshot.Gone[id]; ok && e == nil {
		e = gone.Endpoint
	}
	if k.asking || e == nil || now.Sub(k.asked) < askEvery || k.Refused || c.asking >= questionsAtOnce {
		return // if it still matters it is asked for again in the next step
	}
	k.asking, k.asked = true, now
	c.asking++
	go c.askNow(ctx, e, k)
}

func (c *Controller) askNow(ctx context.Context, e *endpoint.Endpoint, k *contact) {
	sent := clock.Now()
	answer, alone := c.askAll(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	k.asking = false
	c.asking--
	was := k.Failed.IsZero()
	switch answer {
	case Answered, AnsweredBusy:
		k.Contact = Contact{Answered: sent, Busy: answer == AnsweredBusy}
	case NobodyThere:
		k.Refused = true
		k.fail(sent)
	case Silent:
		k.fail(sent)
		k.alone(alone, sent)
	}
	if was != k.Failed.IsZero() {
		_ = level.Info(c.Logger).Log("msg", "endpoint asked", "endpoint", e.ID, "address", e.Address, "answered", answer.Heard(),
			"refused", k.Refused, "alone", !k.Alone.IsZero())
	}
	c.Wake()
}

// askAll asks an endpoint, and the other nodes whether they hear it as soon as it is late. It reports whether nobody does.
func (c *Controller) askAll(ctx context.Context, e *endpoint.Endpoint) (answer Answer, alone bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heard := make(chan bool, 1)
	others := time.AfterFunc(askOthersAfter, func() { heard <- c.Heard(ctx, e) })
	defer others.Stop()
	askCtx, done := context.WithTimeout(ctx, askWait)
	defer done()
	if answer = c.Engine.Ask(askCtx, e); answer != Silent {
		return answer, false
	}
	return answer, !<-heard
}

// alone notes whether nobody else heard the endpoint either. Who is asked changes each time in a large fleet, so
// one that hears it starts the wait anew.
func (k *contact) alone(alone bool, at time.Time) {
	switch {
	case !alone:
		k.Alone = time.Time{}
	case k.Alone.IsZero():
		k.Alone = at
	}
}

func (k *contact) fail(at time.Time) {
	if k.Failed.IsZero() {
		k.Failed = at
	}
}
