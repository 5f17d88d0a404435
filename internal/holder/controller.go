package holder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/domains"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/replica"
)

const (
	controlEvery = 200 * time.Millisecond
	// orderTimeout bounds an order; a new holder waits as long before it orders engines that do not
	// check generations.
	orderTimeout = time.Second
	// orderAgain is the pause before an order that shows no effect is repeated.
	orderAgain = time.Second
	// defaultLoads is the weight store's rate until it has told its own, in VM loads a second.
	defaultLoads = 8
	loadBurst    = 64
	// silentFromStart is how long a new holder waits for a VM's first report.
	silentFromStart = 5 * time.Second
)

// Controller plans and orders while the lease is held.
type Controller struct {
	Keeper     *Keeper
	Objects    infra.ObjectStore
	Engine     infra.Engine
	Mirror     *mirror.Mirror
	Book       *domains.Book
	Drains     *drains.Book
	Reports    *evidence.Reports
	VMs        *VMWatch
	Config     func() *config.Config
	Demand     func() replica.Demand
	Checker    *invariant.Checker
	Logger     log.Logger
	VM         string
	DataCentre string
	Policy     replica.Policy
	Losses     *LossMeter

	epoch    int64
	since    time.Time // when epoch was first seen held
	loads    *rate.Limiter
	domains  map[string]*domainState
	inflight errgroup.Group
}

// domainState is what the holder keeps of one domain during one tenure.
type domainState struct {
	memory  *replica.Memory
	latest  *replica.Assignment
	version int64
	claimed bool // the assignment was written in this tenure
	ordered map[string]sentOrder
}

// Run controls the data centre's domains until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.loads = rate.NewLimiter(defaultLoads, loadBurst)
	loop.Every(ctx, controlEvery, func(now time.Time) { c.step(ctx, now) })
	return c.inflight.Wait()
}

func (c *Controller) step(ctx context.Context, now time.Time) {
	epoch, until, held := c.Keeper.Held(now)
	current := c.Config()
	if !held || current == nil {
		return
	}
	if epoch != c.epoch {
		c.epoch, c.since = epoch, now
		c.domains = make(map[string]*domainState)
	}
	ctx, cancel := clock.WithDeadline(ctx, until)
	defer cancel()
	c.limitLoads(current)
	placement := replica.Place(current, c.assignments(current), c.Demand())
	for _, d := range current.Domains() {
		if d.DataCentre == c.DataCentre {
			c.control(ctx, current, d, placement)
		}
	}
}

// limitLoads sets this data centre's part of the weight store's rate.
func (c *Controller) limitLoads(current *config.Config) {
	total := c.VMs.Limits().LoadsPerSecond
	if total <= 0 {
		total = defaultLoads
	}
	centres := make(map[string]bool)
	for _, d := range current.Domains() {
		centres[d.DataCentre] = true
	}
	c.loads.SetLimit(rate.Limit(total / float64(max(1, len(centres)))))
}

// assignments returns every domain's assignment, our own as last written.
func (c *Controller) assignments(current *config.Config) []*replica.Assignment {
	var out []*replica.Assignment
	for _, a := range c.Book.All() {
		if own, ok := c.domains[a.Domain]; ok && own.latest != nil {
			a = own.latest
		}
		if _, declared := current.Domains()[a.Domain]; declared {
			out = append(out, a)
		}
	}
	return out
}

func (c *Controller) control(ctx context.Context, current *config.Config, d config.DomainOf, placement replica.Placement) {
	s, ok := c.domains[d.Name]
	if !ok {
		s = &domainState{memory: replica.NewMemory(), ordered: make(map[string]sentOrder)}
		c.domains[d.Name] = s
	}
	if a, version, ok := c.Book.Get(d.Name); ok && version > s.version {
		s.latest, s.version = a, version
	}
	if s.latest == nil {
		s.latest = &replica.Assignment{Domain: d.Name, DataCentre: d.DataCentre}
	}
	if current.Revision < s.latest.Revision {
		return // the holder before knew a later configuration; planning from this one would revert it
	}
	view := c.view(current, d, placement)
	c.Losses.add(d.Domain, s.latest, view, c.Policy.LossAfter)
	next, changes := replica.Plan(s.latest, view, s.memory, c.Policy)
	if !s.claimed && len(changes) == 0 {
		next = s.latest.Clone()
		next.Generation++
	}
	next.Revision = max(current.Revision, next.Revision)
	if !s.claimed || len(changes) > 0 {
		if !c.write(ctx, s, next, changes) {
			return
		}
	}
	c.order(ctx, d, s, view)
}

func (c *Controller) view(current *config.Config, d config.DomainOf, placement replica.Placement) replica.View {
	now := clock.Now()
	drained := c.Drains.Read()
	all := c.assignments(current)
	v := replica.View{
		Now: now, Domain: d.Domain, Models: current.Models(), Prices: current.Prices,
		VMs: make(map[string]replica.VMView, len(d.VMs)),
		Add: placement.Add[d.Name], Drop: placement.Drop[d.Name],
		Loads: int(c.loads.TokensAt(now)),
		MayRoll: func(g *replica.Group) bool {
			return replica.MayRoll(g, current.Models()[g.Model].Model, all)
		},
	}
	for _, vm := range d.VMs {
		view := c.report(vm.Name, now)
		listed, known := c.VMs.State(vm.Name)
		view.Leaving = drained.Has(vm.Name) || listed == infra.VMLeaving
		view.Gone = known && listed == "" && now.Sub(view.LastAnswer) > c.Policy.LossAfter
		v.VMs[vm.Name] = view
	}
	return v
}

// report returns the VM's last report. A VM that has said nothing for a while in this tenure counts as
// silent since its start.
func (c *Controller) report(vm string, now time.Time) replica.VMView {
	view := c.Reports.Get(vm)
	if !view.Answered && now.Sub(c.since) > silentFromStart {
		return replica.VMView{Answered: true, LastAnswer: c.since}
	}
	return view
}

// write puts the next assignment in force and reports whether it did.
func (c *Controller) write(ctx context.Context, s *domainState, next *replica.Assignment, changes []replica.Change) bool {
	next.Holder, next.Epoch, next.Operation = c.VM, c.epoch, uuid.NewString()
	err := next.Check()
	if !c.Checker.Hold(invariant.OneGroupAVM, err == nil, func() []any { return []any{"err", err} }) {
		return false
	}
	epoch, _, held := c.Keeper.Held(clock.Now())
	if !held || epoch != c.epoch {
		return false
	}
	outcome, version, err := c.Objects.Put(ctx, keys.Domain(next.Domain), next, s.version)
	if outcome != infra.Applied {
		_ = level.Warn(c.Logger).Log("msg", "assignment not written", "domain", next.Domain, "outcome", outcome, "err", err)
		c.readBack(ctx, s, next)
		return false
	}
	c.Checker.Hold(invariant.UnderLease, next.Epoch >= s.latest.Epoch, func() []any {
		return []any{"domain", next.Domain, "epoch", next.Epoch, "after_epoch", s.latest.Epoch}
	})
	c.accepted(s, next, version, changes)
	return true
}

func (c *Controller) accepted(s *domainState, next *replica.Assignment, version int64, changes []replica.Change) {
	c.loads.AllowN(time.Now(), min(loadBurst, newLoads(s.latest, next)))
	s.latest, s.version, s.claimed = next, version, true
	if raw, err := json.Marshal(next); err == nil {
		c.Mirror.Put(infra.Object{Key: keys.Domain(next.Domain), Version: version, Value: raw})
	}
	for _, change := range changes {
		_ = level.Info(c.Logger).Log("msg", "assignment", "domain", next.Domain, "generation", next.Generation,
			"group", change.Group, "reason", change.Reason)
	}
}

// readBack learns how a write ended: by its operation it is known even when the answer was lost.
func (c *Controller) readBack(ctx context.Context, s *domainState, sent *replica.Assignment) {
	o, err := c.Objects.Get(ctx, keys.Domain(sent.Domain))
	if errors.Is(err, infra.ErrNotFound) || err != nil {
		return
	}
	a := &replica.Assignment{}
	if err := json.Unmarshal(o.Value, a); err != nil {
		_ = level.Error(c.Logger).Log("msg", "the assignment cannot be read", "domain", sent.Domain, "err", err)
		return
	}
	if a.Operation == sent.Operation {
		c.accepted(s, a, o.Version, nil)
		return
	}
	s.latest, s.version = a, o.Version
}

// newLoads is how many VMs have to load weights for the next assignment.
func newLoads(old, next *replica.Assignment) int {
	n := 0
	for _, g := range next.Groups {
		before := old.Group(g.ID)
		for _, vm := range g.VMs {
			if before == nil || before.Version != g.Version || !slices.Contains(before.VMs, vm) {
				n++
			}
		}
	}
	for _, w := range next.Warm {
		if had, ok := old.WarmOn(w.VM); !ok || had != w {
			n++
		}
	}
	return n
}
