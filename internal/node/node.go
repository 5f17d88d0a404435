// Package node assembles the components of a moorrund process and runs them.
package node

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/admin"
	"moorrun.dev/moorrun/internal/admission"
	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/domains"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/entry"
	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/holder"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/inforce"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/infra/rest"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/metrics"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/netconn"
	"moorrun.dev/moorrun/internal/observer"
	"moorrun.dev/moorrun/internal/once"
	"moorrun.dev/moorrun/internal/peer"
	"moorrun.dev/moorrun/internal/places"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/reach"
	"moorrun.dev/moorrun/internal/relay"
	"moorrun.dev/moorrun/internal/replica"
	"moorrun.dev/moorrun/internal/routing"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/tunnel"
)

const (
	platformTimeout = time.Second
	engineTimeout   = 400 * time.Millisecond
	metricsInterval = time.Second
	sweepInterval   = 5 * time.Second
)

// Node is one moorrund process.
type Node struct {
	// DialEndpoint connects to engines and endpoints without the help of other nodes; nil dials their addresses. It must be set
	// before Run.
	DialEndpoint reach.Dial

	settings      *settings.Settings
	logger        log.Logger
	reporter      *metrics.Reporter
	metricsCloser io.Closer

	fleet         *peer.Fleet
	drains        *drains.Reader
	objects       infra.ObjectStore
	calls         *httpcall.Client
	monitor       *reach.Monitor
	dialer        *reach.Dialer
	tunnels       *tunnel.Server
	accepts       *netconn.AcceptReporter
	caller        *peer.Caller
	links         *relay.Links
	watcher       *relay.Watcher
	configTracker *inforce.Tracker
	leases        *leaseManager
	pruner        *holder.Pruner
	takeover      *membership.Takeover
	vms           *holder.VMWatch
	observer      *observer.Observer
	holdSyncer    *quarantine.HoldSyncer
	places        *places.Server
	admission     *admission.Admission
	// serviceAdmission queues requests to plain services; admission queues those to models.
	serviceAdmission *admission.Admission
	once             *once.ClaimStore
	entry            *entry.Server
	admin            *admin.Server
	peerServer       *peer.Server

	listeners listeners
	runCtx    context.Context //nolint:containedctx // canceled when the node stops; for work that components start later
	cancelRun context.CancelFunc
	stopping  atomic.Bool
}

// New opens the node's listening sockets and creates its components. Run starts them.
func New(s *settings.Settings, logger log.Logger) (*Node, error) {
	l, err := listen(s)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, logger: logger, reporter: metrics.NewReporter(), listeners: l}
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "moorrun", Reporter: n.reporter, Separator: "_", Tags: map[string]string{"data_centre": s.DataCentre},
	}, metricsInterval)
	n.metricsCloser = closer
	n.accepts = netconn.NewAcceptReporter(scope, logger)
	checker := invariant.NewChecker(logger, scope)
	n.buildPlatform(scope)
	n.buildFleet()
	current := func() *config.Config { return n.configTracker.Current() }
	n.configTracker = inforce.NewTracker(n.fleet.Mirror, partSource{n.caller, n.links, n.objects}, checker, logger, n.configChanged)
	assignments := domains.NewReader(n.fleet.Mirror)
	n.drains = drains.NewReader(n.fleet.Mirror)
	router := routing.New(n.drains, assignments, n.fleet.Observations, current)
	engine := rest.NewEngine(n.calls, engineTimeout)
	n.takeover = membership.NewTakeover(n.fleet.Members, func(dataCentre string) string {
		if c := current(); c != nil {
			return c.Region(dataCentre)
		}
		return dataCentre
	})
	n.observer = observer.New(n.fleet, engine, assignments, current, n.takeover, s.PollInterval(), s.EvidenceLifetime())
	services := routing.NewServices(n.drains, current)
	n.places = places.NewServer(n.fleet.Members, router, services, current, checker)
	n.peerServer = peer.NewServer(n.fleet, n.configTracker, n.places)
	var allocatorClient admission.AllocatorClient = places.NewClient(n.fleet.Members, current, n.places, n.caller)
	if s.PlacesPolicy == settings.PlacesSplit {
		allocatorClient = places.NewSplitter(n.fleet.Members, current, n.places)
	}
	n.admission = admission.New(n.runCtx, allocatorClient, router)
	n.admission.LengthOnly = s.QueuePolicy == settings.QueueFIFO
	n.serviceAdmission = admission.New(n.runCtx, allocatorClient, services)
	n.admission.OnLongWait, n.serviceAdmission.OnLongWait = n.logLongWait, n.logLongWait
	n.once = once.NewClaimStore(time.Now)
	losses := holder.NewLossMeter()
	n.buildHolder(assignments, engine, current, checker, losses)
	recorder := burn.NewRecorder(func(workspace, service string) (config.Objective, bool) {
		if c := current(); c != nil {
			return c.Objective(workspace, service)
		}
		return config.Objective{}, false
	})
	n.entry = entry.New(entry.Options{
		Current: current, Contact: n.fleet.Contact, Members: n.fleet.Members, Router: router, Services: services,
		Admission: n.admission, ServiceAdmission: n.serviceAdmission, Calls: n.calls, Engine: engine, Once: n.once, Burn: recorder, Checker: checker,
		Scope: scope, Logger: logger, AddressLifetime: s.AddressLifetime(), Quarantine: n.fleet.Quarantine,
	})
	n.setUpQuarantine()
	n.admin = admin.New(admin.Options{
		Store: accept.NewStore(n.objects), Objects: n.objects, Current: current, Members: n.fleet.Members,
		Mirror: n.fleet.Mirror, Drains: n.drains, Assignments: assignments, Router: router, Admission: n.admission, Burn: recorder,
		Losses: losses.Losses, Checker: checker, Metrics: n.reporter, Logger: logger,
		Bootstrap: s.BootstrapOperatorSHA256, Ready: n.ready,
	})
	return n, nil
}

func (n *Node) buildPlatform(scope tally.Scope) {
	s := n.settings
	n.calls = httpcall.NewClient()
	n.setUpReach(scope)
	n.objects = rest.NewObjectStore(s.Platform.ObjectAPI, n.calls, rest.NewBudget(s.StoreReads, s.StoreWrites), platformTimeout)
}

func (n *Node) buildFleet() {
	s := n.settings
	self := membership.Member{
		VM: s.VM, DataCentre: s.DataCentre, CallerAddress: s.CallerAddress, AdminAddress: s.AdminAddress,
		PeerAddress: s.PeerAddress, Incarnation: uuid.NewString()[:8], Heard: clock.Now(),
	}
	n.fleet = &peer.Fleet{
		Deployment: s.Deployment,
		Mirror:     mirror.New(), Observations: evidence.NewTable(), Reports: evidence.NewReports(),
		Members: membership.NewTable(self), Contact: &peer.Contact{}, Outgoing: peer.NewOutbox(), Quarantine: quarantine.NewTable(), Heartbeat: s.Heartbeat(),
	}
	n.caller = peer.NewCaller(s.Heartbeat(), s.Deployment)
	n.links = relay.NewLinks(n.fleet, s.Peers)
	n.watcher = relay.NewWatcher(n.objects, n.fleet, n.links, n.logger)
}

func (n *Node) buildHolder(assignments *domains.Reader, engine infra.Engine, current func() *config.Config, checker *invariant.Checker, losses *holder.LossMeter) {
	s := n.settings
	n.leases = &leaseManager{node: n, leaseClients: make(map[string]*holder.LeaseClient)}
	n.vms = holder.NewVMWatch(
		rest.NewVMList(s.Platform.VMList, n.calls, platformTimeout),
		rest.NewWeightStore(s.Platform.WeightStore, n.calls, platformTimeout), n.leases.holdsAny)
	n.pruner = &holder.Pruner{Active: n.leases.holdsAny, Objects: n.objects, Mirror: n.fleet.Mirror, Members: n.fleet.Members, Logger: n.logger}
	policy := replica.DefaultPolicy
	policy.Reload = s.Reload()
	n.leases.newController = func(dataCentre string, k *holder.LeaseClient) *holder.Controller {
		return &holder.Controller{
			LeaseClient: k, Objects: n.objects, Engine: engine, Mirror: n.fleet.Mirror, Assignments: assignments, Drains: n.drains, Reports: n.fleet.Reports,
			VMs: n.vms, Config: current, Demand: n.places.Waiting, Checker: checker, Logger: n.logger, VM: s.VM,
			DataCentre: dataCentre, Policy: policy, Losses: losses,
		}
	}
}

// configChanged records the revision of a configuration that has come into force in this node's member entry.
func (n *Node) configChanged(c *config.Config) {
	n.fleet.Members.Update(func(m *membership.Member) { m.Revision = c.Revision })
}

func (n *Node) draining() bool { return n.fleet.Members.Self(clock.Now()).Draining }

// ready reports whether the node is ready to serve, and if not, why.
func (n *Node) ready() (bool, string) {
	switch {
	case n.configTracker.Current() == nil:
		return false, "no configuration is in force"
	case n.draining():
		return false, "draining"
	default:
		return true, ""
	}
}

// Run serves until ctx ends, then drains the node: address lists no longer contain it, callers with a cached
// address list are served until that list expires, and requests in flight are completed.
func (n *Node) Run(ctx context.Context) error {
	l := n.listeners
	// The level is passed as a plain string, which the level filter does not recognize, so that this line is
	// written at every log level.
	_ = n.logger.Log("level", "info", "msg", "started", "caller", n.settings.CallerAddress, "admin", n.settings.AdminAddress,
		"peer", n.settings.PeerAddress, "peer_listen", l.peer.Addr().String())
	ctx, end := context.WithCancel(ctx)
	defer end()
	var g errgroup.Group
	// A listener that ends before the process does ends the process: without it the node would be taken for sound.
	serve := func(name string, run func() error) {
		g.Go(func() error {
			err := run()
			if n.runCtx.Err() != nil {
				err = nil
			}
			if err != nil {
				_ = level.Error(n.logger).Log("msg", "listener ended; stopping", "listener", name, "err", err)
				end()
			}
			return err
		})
	}
	serve("caller", func() error { return n.entry.Serve(n.accepts.Listener("caller", l.caller)) })
	serve("admin", func() error { return n.admin.Serve(n.accepts.Listener("admin", l.admin)) })
	tunnels, peers, split := tunnel.Split(n.accepts.Listener("peer", l.peer), n.tunnels.OnRejected)
	serve("peer", func() error { return split(n.runCtx) })
	g.Go(func() error { return n.tunnels.Serve(n.runCtx, tunnels) })
	serve("calls", func() error { return n.peerServer.Serve(n.runCtx, peers) })
	for _, run := range []func(context.Context) error{
		n.links.Run, n.watcher.Run, n.configTracker.Run, n.leases.Run, n.vms.Run, n.observer.Run,
		n.register, n.pruner.Run, n.sweep, n.syncDraining, n.places.Run, n.holdSyncer.Run,
	} {
		g.Go(func() error { return run(n.runCtx) })
	}
	g.Go(func() error { <-ctx.Done(); return n.shutdown() })
	err := g.Wait()
	n.admission.Wait()
	n.serviceAdmission.Wait()
	return errors.Join(err, n.caller.Close(), n.metricsCloser.Close())
}

// sweep periodically removes expired entries from the node's tables.
func (n *Node) sweep(ctx context.Context) error {
	loop.Every(ctx, sweepInterval, func(now time.Time) {
		n.calls.Sweep()
		n.dialer.Sweep(now)
		n.once.Sweep()
		n.fleet.Observations.Sweep(now)
		n.fleet.Members.Sweep(now)
		n.fleet.Quarantine.Sweep(now)
		n.entry.Sweep(now)
	})
	return nil
}
