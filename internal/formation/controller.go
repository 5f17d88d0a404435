package formation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/route"
)

const (
	stepInterval = 60 * time.Millisecond
	// MaxListAge is the maximum age of the copy of the endpoint list for decisions.
	MaxListAge = 2500 * time.Millisecond
	// storeOutageAfter is the age of the copy from which the store counts as unavailable. It is less than the age from
	// which package follow holds removals back.
	storeOutageAfter = 2 * time.Second
	orderTimeout     = 700 * time.Millisecond
	// maxConcurrentOrders and maxConcurrentProbes limit the orders and probes in progress. The leader of a starting
	// fleet sends an order to every endpoint, and a new leader a probe. If thousands start at once, all are late, and so
	// is the renewal of the lease, which competes with them for the processor.
	maxConcurrentOrders = 128
	maxConcurrentProbes = 128
)

// Controller plans replica groups and carries out the plans while this node is the leader.
type Controller struct {
	Options

	// These are read without mu, because callers may hold locks that a step needs.
	retiring, lost atomic.Pointer[[]string]

	mu           sync.Mutex
	epoch        int64               // of the last tenure
	numbers      *groupNumbers       // of the tenure
	planners     map[string]*Planner // by service name
	demands      map[string]*demand  // by service name; kept across tenures
	contacts     map[string]*contact // by endpoint ID
	activeProbes int                 // probes in progress
	orderSlots   chan struct{}       // holds an element for each order in progress
	followedAt   time.Time           // last update of demands while planning nothing
	trafficSeen  bool                // some node has received a request
	currentSince time.Time           // since when the list has been current without an outage of the store; zero if it is not current
	wake         chan struct{}

	work, lastWork Work // in progress, and of the last whole workInterval
	workSince      time.Time
}

// NewController returns a Controller.
func NewController(o Options) *Controller {
	return &Controller{Options: o, planners: make(map[string]*Planner), demands: make(map[string]*demand), contacts: make(map[string]*contact), orderSlots: make(chan struct{}, maxConcurrentOrders), wake: make(chan struct{}, 1)}
}

// Wake triggers a step without waiting for the interval.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run plans and carries out the plans until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	loop.EveryOrWakeWithin(ctx, stepInterval, maxStepShare, c.wake, func(now time.Time) { c.step(ctx, now) })
	return nil
}

// Leads returns the epoch of this node's leader lease, or 0 if it does not hold the lease.
func (c *Controller) Leads(now time.Time) int64 {
	epoch, _, ok := c.Lease(now)
	if !ok {
		return 0
	}
	return epoch
}

// Retiring returns the groups that this tenure is ending.
func (c *Controller) Retiring() []string { return loadNames(&c.retiring) }

// Lost returns the groups that this tenure recently found to have lost a member.
func (c *Controller) Lost() []string { return loadNames(&c.lost) }

func loadNames(list *atomic.Pointer[[]string]) []string {
	if names := list.Load(); names != nil {
		return *names
	}
	return nil
}

// publishGroups updates what Retiring and Lost return, and calls OnGroupsAdded if either has gained a group.
func (c *Controller) publishGroups() {
	var retiring, lost []string
	for _, p := range c.planners {
		retiring = append(retiring, p.Retiring()...)
		lost = append(lost, p.Lost()...)
	}
	added := hasNew(c.Retiring(), retiring) || hasNew(c.Lost(), lost)
	c.retiring.Store(&retiring)
	c.lost.Store(&lost)
	if added && c.OnGroupsAdded != nil {
		c.OnGroupsAdded()
	}
}

// hasNew reports whether any of the names is missing from before.
func hasNew(before, names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(before, name) })
}

func (c *Controller) step(ctx context.Context, now time.Time) {
	table := c.Table()
	epoch, until, ok := c.Lease(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok && epoch != c.epoch {
		c.epoch = epoch // a lease that lapsed and is held again with the same epoch continues the tenure
		c.numbers = &groupNumbers{}
		clear(c.planners)
	}
	defer c.publishGroups()
	c.trackListAge(now)
	if !ok || table == nil || now.Sub(c.ListedAsOf()) > MaxListAge || until.Sub(now) < orderTimeout {
		c.followDemand(table, ok, now)
		return
	}
	defer c.reportWork(now)
	defer c.work.addStep(now)
	for _, s := range table.Engines() {
		p := c.planners[s.Name]
		if p == nil {
			p = NewPlanner(epoch, now)
			p.Note, p.OnPlanFailed = c.logDecision, c.OnPlanFailed
			p.demand, p.numbers = c.demandOf(s.Name), c.numbers
			c.planners[s.Name] = p
		}
		v := c.view(s, now)
		orders, probe := p.Step(v)
		for _, o := range orders {
			go c.executeOrder(ctx, p, o)
		}
		for _, id := range probe {
			c.startProbe(ctx, v.Snapshot, id, now)
		}
	}
	for id, k := range c.contacts {
		if now.Sub(k.lastProbe) > contactRetention {
			delete(c.contacts, id)
		}
	}
}

// trackListAge updates currentSince from the age of the copy of the endpoint list.
func (c *Controller) trackListAge(now time.Time) {
	switch {
	case now.Sub(c.CurrentAsOf()) > storeOutageAfter:
		c.currentSince = time.Time{}
	case c.currentSince.IsZero():
		c.currentSince = now
	}
}

func (c *Controller) logDecision(event, group string, pairs ...any) {
	_ = level.Info(c.Logger).Log(append([]any{"msg", event, "group", group, "tenure", c.epoch}, pairs...)...)
}

func (c *Controller) view(s *route.Service, now time.Time) *View {
	v := &View{
		Now: now, CurrentAt: c.ListedAsOf(), CurrentSince: c.currentSince, WriteInterval: c.WriteInterval, Service: s, Snapshot: c.Directory.Read(), Contacts: make(map[string]Contact),
		Loads: make(map[string]int), SuspectGroups: make(map[string]bool),
	}
	for id, k := range c.contacts {
		v.Contacts[id] = k.Contact
	}
	total := c.fleetTotals(now)
	for id := range v.Snapshot.Endpoints {
		if n := total.Loads.At(id); n > 0 {
			v.Loads[id] = n
		}
	}
	v.Demand, v.Mixes = demandByModel(total)
	for group := range total.Suspects {
		v.SuspectGroups[group] = true
	}
	c.trafficSeen = c.trafficSeen || c.Busy() || len(total.Loads) > 0
	v.Busy = c.trafficSeen
	return v
}

// executeOrder waits for a free slot and sends the order, unless its tenure has ended meanwhile.
func (c *Controller) executeOrder(ctx context.Context, p *Planner, o Order) {
	began := clock.Now()
	select {
	case c.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-c.orderSlots }()
	if c.Leads(clock.Now()) != o.Tenure {
		c.recordNotSent(p, o)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := clock.Now()
	outcome := c.Engine.Order(ctx, o)
	c.logOrder(o, outcome, sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work.Orders++
	c.work.OrderTime += clock.Since(sent)
	c.work.OrderWait += sent.Sub(began)
	if !outcome.Answered() {
		c.work.Unanswered++
	}
	p.RecordOutcome(o, outcome, clock.Now())
	if o.Kind == Join && (!outcome.Answered() || outcome == WrongEndpoint) {
		c.recordUnansweredJoin(o.Endpoint.ID, sent)
	}
	if o.Kind == Join || outcome != Unknown {
		c.Wake()
	}
}

// recordNotSent records that an order was not sent, because its tenure had ended.
func (c *Controller) recordNotSent(p *Planner, o Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.RecordOutcome(o, NotSent, clock.Now())
}

// logOrder logs an order, and on what it rests if it is a join.
func (c *Controller) logOrder(o Order, outcome Outcome, sent time.Time) {
	pairs := []any{"msg", "order", "kind", o.Kind.String(), "group", o.Group, "epoch", o.Epoch, "model", o.Model,
		"endpoint", o.Endpoint.ID, "outcome", outcome.String(), "ms", clock.Since(sent).Milliseconds()}
	if o.Kind == Join {
		pairs = append(pairs, "proof", string(o.Proof.kind), "sequence", o.Proof.sequence, "proof_age_ms", sent.Sub(o.Proof.at).Milliseconds())
		if c.OnJoin != nil {
			c.OnJoin(o.Proof.kind, outcome)
		}
	}
	_ = level.Info(c.Logger).Log(pairs...)
}
