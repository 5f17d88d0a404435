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
	controlInterval = 200 * time.Millisecond
	// orderTimeout is the time limit of one order call. A new lease holder waits this long before it sends
	// orders to engines that do not check assignment generations.
	orderTimeout = time.Second
	// orderRetryInterval is the time after which an order is sent again if the VM's reported state still differs.
	orderRetryInterval = time.Second
	// defaultLoadsPerSecond is the rate of weight loads, in VMs per second, that is assumed until the weight
	// store has reported its own limit.
	defaultLoadsPerSecond = 8
	loadBurst             = 64 // VM loads that may start at once
	// firstReportTimeout is how long a new lease holder waits for a VM's first report before it treats the VM
	// as silent.
	firstReportTimeout = 5 * time.Second
)

// Controller writes the assignments of a data centre's fabric domains and sends orders to their VMs while
// this node holds the data centre's lease.
type Controller struct {
	LeaseClient *LeaseClient
	Objects     infra.ObjectStore
	Engine      infra.Engine
	Mirror      *mirror.Mirror
	Assignments *domains.Reader
	Drains      *drains.Reader
	Reports     *evidence.Reports
	VMs         *VMWatch
	Config      func() *config.Config
	Demand      func() replica.Demand
	Checker     *invariant.Checker
	Logger      log.Logger
	VM          string
	DataCentre  string
	Policy      replica.Policy
	Losses      *LossMeter

	epoch       int64
	epochStart  time.Time // when this node was first seen to hold the lease with this epoch
	loadLimiter *rate.Limiter
	domains     map[string]*domainState
	inflight    errgroup.Group
}

// domainState is the controller's state for one domain during one tenure of the lease.
type domainState struct {
	memory            *replica.Memory
	latest            *replica.Assignment
	version           int64
	writtenThisTenure bool                 // an assignment has been written in this tenure
	lastOrders        map[string]sentOrder // by VM name
}

// Run plans for the data centre's domains and sends orders until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	c.loadLimiter = rate.NewLimiter(defaultLoadsPerSecond, loadBurst)
	loop.Every(ctx, controlInterval, func(now time.Time) { c.step(ctx, now) })
	return c.inflight.Wait()
}

func (c *Controller) step(ctx context.Context, now time.Time) {
	epoch, until, held := c.LeaseClient.Held(now)
	current := c.Config()
	if !held || current == nil {
		return
	}
	if epoch != c.epoch {
		c.epoch, c.epochStart = epoch, now
		c.domains = make(map[string]*domainState)
	}
	ctx, cancel := clock.WithDeadline(ctx, until)
	defer cancel()
	c.updateLoadRate(current)
	placement := replica.Place(current, c.assignments(current), c.Demand())
	for _, d := range current.Domains() {
		if d.DataCentre == c.DataCentre {
			c.reconcile(ctx, current, d, placement)
		}
	}
}

// updateLoadRate sets the rate of weight loads to this data centre's equal share of the weight store's limit.
func (c *Controller) updateLoadRate(current *config.Config) {
	total := c.VMs.Limits().LoadsPerSecond
	if total <= 0 {
		total = defaultLoadsPerSecond
	}
	centres := make(map[string]bool)
	for _, d := range current.Domains() {
		centres[d.DataCentre] = true
	}
	c.loadLimiter.SetLimit(rate.Limit(total / float64(max(1, len(centres)))))
}

// assignments returns the assignment of every domain in the configuration. For domains that this controller
// manages it returns the version last written or read, which may be newer than the mirror's.
func (c *Controller) assignments(current *config.Config) []*replica.Assignment {
	var out []*replica.Assignment
	for _, a := range c.Assignments.All() {
		if own, ok := c.domains[a.Domain]; ok && own.latest != nil {
			a = own.latest
		}
		if _, declared := current.Domains()[a.Domain]; declared {
			out = append(out, a)
		}
	}
	return out
}

func (c *Controller) reconcile(ctx context.Context, current *config.Config, d config.DomainOf, placement replica.Placement) {
	s, ok := c.domains[d.Name]
	if !ok {
		s = &domainState{memory: replica.NewMemory(), lastOrders: make(map[string]sentOrder)}
		c.domains[d.Name] = s
	}
	if a, version, ok := c.Assignments.Get(d.Name); ok && version > s.version {
		s.latest, s.version = a, version
	}
	if s.latest == nil {
		s.latest = &replica.Assignment{Domain: d.Name, DataCentre: d.DataCentre}
	}
	if current.Revision < s.latest.Revision {
		return // the previous holder used a later configuration; planning from this one would revert it
	}
	view := c.view(current, d, placement)
	c.Losses.add(d.Domain, s.latest, view, c.Policy.LossAfter)
	next, changes := replica.Plan(s.latest, view, s.memory, c.Policy)
	if !s.writtenThisTenure && len(changes) == 0 {
		next = s.latest.Clone()
		next.Generation++
	}
	next.Revision = max(current.Revision, next.Revision)
	if !s.writtenThisTenure || len(changes) > 0 {
		if !c.write(ctx, s, next, changes) {
			return
		}
	}
	c.sendOrders(ctx, d, s, view)
}

func (c *Controller) view(current *config.Config, d config.DomainOf, placement replica.Placement) replica.View {
	now := clock.Now()
	drained := c.Drains.Read()
	all := c.assignments(current)
	v := replica.View{
		Now: now, Domain: d.Domain, Models: current.Models(), Prices: current.Prices,
		VMs: make(map[string]replica.VMView, len(d.VMs)),
		Add: placement.Add[d.Name], Drop: placement.Drop[d.Name],
		Loads: int(c.loadLimiter.TokensAt(now)),
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

// report returns the VM's last report. A VM without any report firstReportTimeout after the start of the
// tenure counts as silent since the start of the tenure.
func (c *Controller) report(vm string, now time.Time) replica.VMView {
	view := c.Reports.Get(vm)
	if !view.Answered && now.Sub(c.epochStart) > firstReportTimeout {
		return replica.VMView{Answered: true, LastAnswer: c.epochStart}
	}
	return view
}

// write stores the next assignment and reports whether it took effect.
func (c *Controller) write(ctx context.Context, s *domainState, next *replica.Assignment, changes []replica.Change) bool {
	next.Holder, next.Epoch, next.Operation = c.VM, c.epoch, uuid.NewString()
	err := next.Check()
	if !c.Checker.Check(invariant.OneGroupPerVM, err == nil, func() []any { return []any{"err", err} }) {
		return false
	}
	epoch, _, held := c.LeaseClient.Held(clock.Now())
	if !held || epoch != c.epoch {
		return false
	}
	outcome, version, err := c.Objects.Put(ctx, keys.Domain(next.Domain), next, s.version)
	if outcome != infra.Applied {
		_ = level.Warn(c.Logger).Log("msg", "assignment not written", "domain", next.Domain, "outcome", outcome, "err", err)
		c.readBack(ctx, s, next)
		return false
	}
	c.Checker.Check(invariant.LeaseEpochMonotonic, next.Epoch >= s.latest.Epoch, func() []any {
		return []any{"domain", next.Domain, "epoch", next.Epoch, "after_epoch", s.latest.Epoch}
	})
	c.recordWritten(s, next, version, changes)
	return true
}

func (c *Controller) recordWritten(s *domainState, next *replica.Assignment, version int64, changes []replica.Change) {
	c.loadLimiter.AllowN(time.Now(), min(loadBurst, countNewLoads(s.latest, next)))
	s.latest, s.version, s.writtenThisTenure = next, version, true
	if raw, err := json.Marshal(next); err == nil {
		c.Mirror.Put(infra.Object{Key: keys.Domain(next.Domain), Version: version, Value: raw})
	}
	for _, change := range changes {
		_ = level.Info(c.Logger).Log("msg", "assignment", "domain", next.Domain, "generation", next.Generation,
			"group", change.Group, "reason", change.Reason)
	}
}

// readBack reads the assignment after a write that was not confirmed. If the object carries the operation ID
// of the write, the write took effect and only its answer was lost.
func (c *Controller) readBack(ctx context.Context, s *domainState, sent *replica.Assignment) {
	o, err := c.Objects.Get(ctx, keys.Domain(sent.Domain))
	if errors.Is(err, infra.ErrNotFound) || err != nil {
		return
	}
	a := &replica.Assignment{}
	if err := json.Unmarshal(o.Value, a); err != nil {
		_ = level.Error(c.Logger).Log("msg", "cannot decode assignment", "domain", sent.Domain, "err", err)
		return
	}
	if a.Operation == sent.Operation {
		c.recordWritten(s, a, o.Version, nil)
		return
	}
	s.latest, s.version = a, o.Version
}

// countNewLoads returns how many VMs have to load weights for the next assignment.
func countNewLoads(old, next *replica.Assignment) int {
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
