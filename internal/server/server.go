package server

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/eventlog"
	"moorrun.dev/moorrun/internal/follow"
	"moorrun.dev/moorrun/internal/formation"
	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/holder"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/metrics"
	"moorrun.dev/moorrun/internal/netconn"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/ratelimit"
	"moorrun.dev/moorrun/internal/reach"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/tunnel"
)

const (
	sweepInterval = 2 * time.Second
	dialTimeout   = 350 * time.Millisecond
	// leaseMarginDivisor divides the lease's term into the margin that other nodes wait after the lease has expired.
	leaseMarginDivisor = 10
	leaseName          = "formation"
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
	// capacityPerCore converts cores into the unit in which nodes exchange their capacity, thousandths of a core.
	capacityPerCore = 1000
)

// Server is one moorrund process in front of a platform's endpoints.
type Server struct {
	settings *settings.Gateway
	logger   log.Logger
	platform *Platform
	started  time.Time

	calls               *httpcall.Client
	reach               *reach.Monitor
	dialer              *reach.Dialer
	tunnels             *tunnel.Server
	peerCaller          *gossip.Caller
	gossip              *gossip.Node
	follower            *follow.Follower
	directory           *endpoint.Directory
	table               atomic.Pointer[route.Table]
	leaseClient         *holder.LeaseClient
	controller          *formation.Controller
	rates               *ratelimit.Table
	picker              *picker.Picker
	gateway             *gateway.Gateway
	quarantine          *quarantine.Table
	investigator        *quarantine.Investigator
	holdSyncer          *quarantine.HoldSyncer
	rpc                 *gossip.Server
	reporter            *metrics.Reporter
	scope               tally.Scope
	closeScope          io.Closer
	requests            atomic.Int64
	traffic             traffic
	fleetProfile        atomic.Pointer[fleetProfile] // nil until the registered nodes have been listed
	fleetSize           *fleetSize
	cachedNodeCounts    atomic.Pointer[cachedNodeCounts]
	startJitter         float64 // random number from 0 to 1 that spreads the start delays of nodes
	callerConns         callerConns
	stop                atomic.Pointer[stopSchedule] // nil until this node is told to stop
	registrationWritten bool                         // this process has written its registration; used by register only
	appliedSequence     atomic.Uint64                // sequence of the mirror up to which changes are in force and in the directory
	configurationProof  appliedProof                 // of the configuration in force
	endpointsProof      appliedProof                 // of the directory
	listedAt            atomic.Pointer[time.Time]    // the directory holds all endpoints that the store held at that time
	relayTenure         relayTenure
	election            *election

	listeners listeners
	transport Transport
}

// New opens the process's sockets and creates its parts; Run starts them.
func New(s *settings.Gateway, newPlatform NewPlatform, logger log.Logger) (*Server, error) {
	t, err := ListenToNodes(s)
	if err != nil {
		return nil, err
	}
	n := NewWithTransport(t, s, newPlatform, logger)
	return n, n.Listen()
}

// NewWithTransport creates a process that communicates with other nodes and endpoints over t. It has no sockets for
// callers until Listen is called.
func NewWithTransport(t Transport, s *settings.Gateway, newPlatform NewPlatform, logger log.Logger) *Server {
	n := &Server{
		settings: s, logger: logger, started: clock.Now(), transport: t, calls: httpcall.NewClient(), directory: endpoint.NewDirectory(s.EndpointBeat()),
		peerCaller: gossip.NewCaller(t.Dial),
	}
	n.calls.DialTimeout = dialTimeout
	n.reporter = metrics.NewReporter()
	n.scope, n.closeScope = newScope(n.reporter, s.DataCentre)
	n.setUpReach()
	n.startJitter = rand.Float64() //nolint:gosec // spreads queries over time, not security relevant
	n.platform = newPlatform(s, n.calls)
	self := gossip.Identity{
		VM: s.VM, Incarnation: uuid.NewString()[:8], DataCentre: s.DataCentre, CallerAddress: s.CallerAddress,
		GossipAddress: s.PeerAddress, PeerAddress: s.PeerAddress, Capacity: uint32(s.Capacity * capacityPerCore),
	}
	n.election = newElection(n.started, self.Capacity)
	n.election.delay = n.electionDelay
	n.gossip = gossip.NewNode(self, t.Datagrams, n.status)
	n.gossip.Add(s.Peers...)
	n.fleetSize = newFleetSize(n.started)
	n.gossip.FleetSize = n.fleetSize.value
	n.setUpQuarantine()
	leads := func() bool { return n.controller.Leads(clock.Now()) > 0 }
	n.follower = follow.NewFollower(n.platform.Objects, n.peerCaller, s.VM, leads, n.gossip.Live, logger)
	n.follower.KeepsAll, n.follower.Others = n.keepsAll, n.gossip.KnownCount
	n.follower.Beat, n.follower.StoreRecovery, n.follower.Supersedes = s.EndpointBeat(), s.StoreRecovery(), n.supersedes
	n.follower.OnOlder, n.follower.OnHeld = newOlderCounter(n.scope), newHeldCounter(n.scope)
	n.follower.StartDelay, n.follower.Relaying = n.startDelay, n.actsAsRelay
	if s.Evacuations {
		n.follower.AddPrefixes(keys.Evacuations)
	}
	n.setUpProof(&n.configurationProof, keys.Accepted)
	n.setUpProof(&n.endpointsProof, keys.Endpoints)
	n.gossip.OnBeat = n.handleBeat
	n.gossip.CapacityPerRequest = capacityPerCore * coresPerRequest / targetCPUFraction
	n.gossip.OnSent = newBeatCounter(n.scope)
	n.rpc = gossip.NewServer(self.Incarnation, n.follower.Mirror, n.probeForPeer)
	n.rates = ratelimit.NewTable(n.started)
	n.rates.OnChange = n.limitChanged
	n.picker = picker.New(picker.Options{
		Limits: n.rates, DataCentre: s.DataCentre, Directory: n.directory, Others: n.gossip.Others, Retiring: n.retiring, Lost: n.lost, OnStall: n.gossip.Kick,
	})
	ttl := s.LeaseTTL()
	n.leaseClient = holder.NewLeaseClient(n.platform.Objects, leaseName, s.VM, ttl, ttl/leaseMarginDivisor, n.shouldLead, logger)
	n.leaseClient.EpochsAbove = n.epochsBeforeEra
	n.controller = formation.NewController(formation.Options{
		Engine: n.platform.Engine, Directory: n.directory, Table: n.table.Load, Lease: n.leaseClient.Held, WriteInterval: s.EndpointBeat(),
		CurrentAsOf: n.endpointsProof.current, ListedAsOf: n.endpointsListedAt, PeerTotals: n.gossip.Others, OwnStatus: n.ownStatus,
		Busy: func() bool { return n.requests.Load() > 0 }, MayLead: n.gossip.Relaying, AskPeers: n.askPeers, OnGroupsAdded: n.gossip.Kick,
		OnPlanFailed: newPlanFailureCounter(n.scope), OnJoin: newJoinCounter(n.scope), Logger: logger,
	})
	decisions := eventlog.NewDecisions(logger, eventlog.Limits{SampleOneIn: s.SampleOneIn, Failures: s.FailureLinesSecond})
	n.gateway = gateway.New(gateway.Options{
		Configuration: n.configuration, ProofLimit: s.ProofLimit(),
		ProofOptional: !s.CredentialProofRequired,
		Picker:        n.picker, Quarantine: n.quarantine, Investigator: n.investigator, Limits: retry.Limits{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow()},
		Nodes: n.nodeCounts, Started: n.started, Stop: n.plannedStop,
		RequestLog: func(id string) gateway.RequestLog { return decisions.Request(id) },
		Scope:      n.scope,
	})
	return n
}

func (n *Server) limits() route.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

// Run serves until ctx ends, and then finishes the running requests.
func (n *Server) Run(ctx context.Context) error {
	_ = level.Info(n.logger).Log("msg", "started", "caller", n.settings.CallerAddress, "peer", n.settings.PeerAddress, "store", n.settings.StoreAddress)
	ctx, end := context.WithCancel(ctx)
	defer end()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	callers := newHTTP(n.CallerHandler())
	callers.BaseContext = func(net.Listener) context.Context { return requests }
	if n.listeners.caller != nil {
		n.listeners.caller = n.platform.Listener(callers, n.listeners.caller, n.limits)
	}
	n.limitCallerConns()
	n.callerConns.watch(callers)
	registry := newHTTP(n.platform.Registry(n.addresses, n.addressLifetime()))
	readiness := newHTTP(n.platform.Readiness(n.ready))
	var g errgroup.Group
	// A listener that ends before the process does ends the process: without it the node would be taken for sound.
	serve := func(name string, run func() error) {
		g.Go(func() error {
			err := run()
			if work.Err() != nil {
				err = nil
			}
			if err != nil {
				_ = level.Error(n.logger).Log("msg", "listener ended; stopping", "listener", name, "err", err)
				end()
			}
			return err
		})
	}
	metricsServer := newHTTP(n.metricsHandler())
	for _, l := range []struct {
		name   string
		server *http.Server
		on     net.Listener
	}{
		{"caller", callers, n.listeners.caller}, {"registry", registry, n.listeners.registry},
		{"readiness", readiness, n.listeners.readiness}, {"metrics", metricsServer, n.listeners.metrics},
	} {
		if l.on != nil {
			serve(l.name, func() error { return n.ignorePlannedClose(l.server.Serve(l.on)) })
		}
	}
	peers := netconn.NewAcceptReporter(n.scope, n.logger).Listener("peer", n.transport.Calls)
	tunnels, calls, split := tunnel.Split(peers, n.tunnels.OnRejected)
	serve("peer", func() error { return split(work) })
	g.Go(func() error { return n.tunnels.Serve(work, tunnels) })
	serve("calls", func() error { return n.rpc.Serve(work, calls) })
	for _, run := range []func(context.Context) error{
		n.gossip.Run, n.follower.Run, n.leaseClient.Run, n.controller.Run, n.applyChanges, n.register, n.sweep, n.updateGauges, n.monitorProof, n.holdSyncer.Run,
	} {
		g.Go(func() error { return run(work) })
	}
	g.Go(func() error {
		<-ctx.Done()
		n.leave(callers, func() { endRequests(gateway.ErrStopping) })
		stop()
		return errors.Join(registry.Close(), readiness.Close(), n.ignorePlannedClose(callers.Close()), metricsServer.Close())
	})
	err := g.Wait()
	_ = level.Info(n.logger).Log("msg", "stopped", "err", err)
	return errors.Join(err, n.peerCaller.Close(), n.closeScope.Close())
}

// limitCallerConns keeps callers from using up the descriptors of this process.
func (n *Server) limitCallerConns() {
	n.callerConns.limit = maxCallerConns()
	n.callerConns.onLimit = func(closed closeKind) {
		n.scope.Tagged(map[string]string{"state": string(closed)}).Counter("caller_connections_over_limit").Inc(1)
	}
}

// CallerHandler returns the handler of callers' requests.
func (n *Server) CallerHandler() http.Handler {
	handler := n.platform.Callers(n.gateway, n.limits, n.leaving)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		if n.traffic.add(clock.Now()) {
			n.gossip.Kick() // this node now needs the loads of the others
		}
		handler.ServeHTTP(w, r)
	})
}

func newHTTP(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// ignorePlannedClose returns the error with which a listener or its server ended, or nil if a planned stop closed the listener.
func (n *Server) ignorePlannedClose(err error) error {
	if errors.Is(err, http.ErrServerClosed) || n.leaving() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// sweep removes expired entries from the tables, and settles disputed ones, every sweepInterval until ctx ends.
func (n *Server) sweep(ctx context.Context) error {
	loop.Every(ctx, sweepInterval, func(now time.Time) {
		n.calls.Sweep()
		n.dialer.Sweep(now)
		n.directory.Settle(now)
		n.picker.Sweep(now)
		n.rates.Sweep(now)
		n.quarantine.Sweep(now)
		n.investigator.Sweep(now)
	})
	return nil
}

// Table returns the configuration in force, or nil if there is none yet.
func (n *Server) Table() *route.Table { return n.table.Load() }

// Leads reports whether this node is the leader.
func (n *Server) Leads() bool { return n.controller.Leads(clock.Now()) > 0 }

// Ready reports whether this node accepts new callers.
func (n *Server) Ready() bool { return n.ready() }

// Endpoints returns a snapshot of the endpoints that this node knows.
func (n *Server) Endpoints() *endpoint.Snapshot { return n.directory.Read() }
