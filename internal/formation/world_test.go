package formation

import (
	"fmt"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

var origin = time.Unix(1000, 0)

// testService has a model of three members and one of two.
func testService() *route.Service {
	return &route.Service{Name: "lm", Engine: &route.Engine{
		Slots: 10, LoadsPerSecond: 5, LoadsAtOnce: 4,
		Models: []route.Model{
			{Name: "big", Size: 3, Share: 0.5, Load: 4 * time.Second, Warm: 800 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.5, Load: 3 * time.Second, Warm: 500 * time.Millisecond},
		},
	}}
}

// worker is an endpoint of the fake world.
type worker struct {
	endpoint.Endpoint
	up      bool
	cut     bool // from the store: its entry goes
	silent  bool // to the leader, whose orders do not reach it, though others hear it
	lostAt  time.Time
	seen    int64     // the highest epoch of a join taken
	readyAt time.Time // of the join under way
	failed  time.Time // the leader's first question without an answer
}

// pending is an order on its way.
type pending struct {
	planner *Planner
	order   Order
	at      time.Time
	mute    bool // its answer is lost
}

// world is some fabric domains of endpoints that take orders as the platform's workers do.
type world struct {
	domainSize int // endpoints of a domain; 0: there is only one domain
	busy       bool
	demand     map[string]int
	now        time.Time
	service    *route.Service
	workers    map[string]*worker
	ready      map[string]map[string]bool // group and epoch → members that have been ready in it
	wanted     map[string][]string        // group and epoch → its members
	orders     []pending
	born       int
	fail       func(format string, args ...any)
	history    []*endpoint.Snapshot // of earlier moments, for planners that see late
	opened     int
	log        func(format string, args ...any)
}

func newWorld(n int, fail func(string, ...any)) *world {
	w := &world{
		now: origin, service: testService(), workers: make(map[string]*worker), ready: make(map[string]map[string]bool),
		wanted: make(map[string][]string), fail: fail, log: func(string, ...any) {},
	}
	for range n {
		w.add()
	}
	return w
}

func (w *world) add() {
	w.born++
	id, domain := fmt.Sprintf("w%02d", w.born), "d"
	if w.domainSize > 0 {
		domain = fmt.Sprint("d", (w.born-1)/w.domainSize)
	}
	w.workers[id] = &worker{up: true, Endpoint: endpoint.Endpoint{ID: id, Service: "lm", Domain: domain, Address: id}}
}

func key(group string, epoch int64) string { return fmt.Sprintf("%s@%d", group, epoch) }

// headOf returns the living head of a worker's group.
func (w *world) headOf(m *endpoint.Membership) *worker {
	for _, x := range w.workers {
		if x.up && x.Membership != nil && x.Membership.Group == m.Group && x.Membership.Epoch == m.Epoch && x.Membership.Rank == 0 {
			return x
		}
	}
	return nil
}

// take carries an order out at its endpoint, checks what must hold, and returns the answer.
func (w *world) take(o Order) Outcome {
	x := w.workers[o.Endpoint.ID]
	w.log("%5d ms %s %s %s of %v", w.now.Sub(origin).Milliseconds(), o.Endpoint.ID, o.Kind, o.Group, o.Members)
	if x == nil || !x.up {
		return Elsewhere
	}
	m := x.Membership
	switch o.Kind {
	case Join:
		return w.join(x, o)
	case Open:
		if m == nil || m.Group != o.Group || m.Epoch != o.Epoch || m.Rank != 0 || m.State != endpoint.Ready {
			return Refused
		}
		for _, id := range w.wanted[key(o.Group, o.Epoch)] {
			if !w.ready[key(o.Group, o.Epoch)][id] {
				w.fail("PARTIAL: %s opens though %s has never been ready in it", o.Group, id)
			}
		}
		w.opened++
		w.set(x, endpoint.Open)
	case Leave:
		if m != nil && m.Group == o.Group && m.Epoch == o.Epoch {
			x.Membership = nil
			x.Revision++
		}
	case Stage:
		x.Staged = []string{o.Model}
		x.Revision++
	}
	return Taken
}

func (w *world) join(x *worker, o Order) Outcome {
	if o.Epoch < x.seen {
		return Refused
	}
	if m := x.Membership; m != nil && m.Group != o.Group {
		if head := w.headOf(m); head != nil && (head.Membership.State == endpoint.Open || head.Membership.State == endpoint.Closing) {
			w.fail("TWO: %s is joined to %s while %s is open at %s", x.ID, o.Group, m.Group, head.ID)
		}
	}
	x.seen = o.Epoch
	w.wanted[key(o.Group, o.Epoch)] = o.Members
	x.Membership = &endpoint.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, x.ID), State: endpoint.Joining}
	x.Revision++
	x.Models = []string{o.Model}
	x.readyAt = w.now.Add(300 * time.Millisecond)
	return Taken
}

func (w *world) set(x *worker, s endpoint.State) {
	m := *x.Membership
	m.State = s
	x.Membership = &m
	x.Revision++
}

// pass lets time go on.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, x := range w.workers {
		m := x.Membership
		if x.up && m != nil && m.State == endpoint.Joining && !w.now.Before(x.readyAt) {
			w.set(x, endpoint.Ready)
			k := key(m.Group, m.Epoch)
			if w.ready[k] == nil {
				w.ready[k] = make(map[string]bool)
			}
			w.ready[k][x.ID] = true
		}
	}
	w.history = append(w.history, w.snapshot())
}

const entryKept = 3600 * time.Millisecond

// snapshot is what the store lists now.
func (w *world) snapshot() *endpoint.Snapshot {
	d := endpoint.NewDirectory(time.Second)
	var listed []*endpoint.Endpoint
	var all []*endpoint.Endpoint
	var gone []string
	for id, x := range w.workers {
		copied := x.Endpoint
		all = append(all, &copied)
		if (!x.up || x.cut) && w.now.Sub(x.lostAt) > entryKept {
			gone = append(gone, id)
			continue
		}
		listed = append(listed, &copied)
	}
	d.Apply(all, nil, w.now)
	d.Apply(listed, gone, w.now)
	return d.Read()
}

// view is what a planner sees, late steps ago.
func (w *world) view(late int) *View {
	at := max(0, len(w.history)-1-late)
	snapshot := w.history[at]
	v := &View{Now: w.now, Steady: origin.Add(-time.Hour), AsOf: w.now.Add(-time.Duration(len(w.history)-1-at) * tick), Service: w.service, Snapshot: snapshot, Contacts: make(map[string]Contact), Loads: make(map[string]int), Suspects: make(map[string]bool), Demand: w.demand, Busy: w.busy}
	for id, x := range w.workers {
		if !x.failed.IsZero() {
			contact := Contact{Failed: x.failed}
			if !x.up {
				contact.Alone = x.failed
			}
			v.Contacts[id] = contact
		}
		if !x.up && x.Membership != nil {
			v.Suspects[x.Membership.Group] = true
		}
	}
	return v
}

// step lets a planner look and sends its orders.
func (w *world) step(p *Planner, late int, delay func() (time.Duration, bool)) {
	orders, ask := p.Step(w.view(late))
	checkCommitments(p, w.fail)
	for _, o := range orders {
		after, mute := delay()
		w.orders = append(w.orders, pending{p, o, w.now.Add(after), mute})
		if mute {
			p.RecordOutcome(o, Unknown, w.now)
		}
	}
	for _, id := range ask {
		x := w.workers[id]
		switch {
		case x == nil:
		case x.up && !x.silent:
			x.failed = time.Time{}
		case x.failed.IsZero():
			x.failed = w.now
		}
	}
}

// deliver carries out the orders that are due.
func (w *world) deliver() {
	var left []pending
	for _, d := range w.orders {
		if w.now.Before(d.at) {
			left = append(left, d)
			continue
		}
		x := w.workers[d.order.Endpoint.ID]
		outcome := Unknown
		if x == nil || x.up && !x.silent {
			outcome = w.take(d.order)
		}
		if !d.mute {
			d.planner.RecordOutcome(d.order, outcome, w.now)
		}
	}
	w.orders = left
}

func sorted(list []string) []string {
	slices.Sort(list)
	return list
}
