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
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/ratelimit"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/settings"
)

const (
	sweepEvery  = 2 * time.Second
	dialTimeout = 350 * time.Millisecond
	// leaseMarginPart is the part of the lease's term that others wait beyond it.
	leaseMarginPart = 10
	leaseName       = "formation"
	headerWait      = 10 * time.Second
	idleWait        = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	// capacityUnit turns cores into the unit in which nodes tell each other their capacity.
	capacityUnit = 1000
)

// Server is one moorrund process before a platform's endpoints.
type Server struct {
	settings *settings.Gateway
	logger   log.Logger
	platform *Platform
	started  time.Time

	calls      *httpcall.Client
	caller     *gossip.Caller
	gossip     *gossip.Node
	follower   *follow.Follower
	directory  *endpoint.Directory
	table      atomic.Pointer[route.Table]
	keeper     *holder.Keeper
	controller *formation.Controller
	rates      *ratelimit.Table
	picker     *picker.Picker
	gateway    *gateway.Gateway
	quarantine *quarantine.Table
	inquiry    *quarantine.Inquiry
	holds      *quarantine.Keeper
	rpc        *gossip.Server
	reporter   *metrics.Reporter
	scope      tally.Scope
	closeScope io.Closer
	requests   atomic.Int64
	traffic    traffic
	crowd      atomic.Pointer[crowd] // nil until the list of registered nodes was read
	startDraw  float64               // 0 to 1, by chance
	leaving    atomic.Bool
	written    bool                      // this node's registration, since it started; only register looks at it
	applied    atomic.Uint64             // sequence of the copy that is in the directory
	listed     atomic.Pointer[time.Time] // the endpoints in the directory are certainly what the store had then
	relayed    relayed
	election   *election

	listeners listeners
	transport Transport
}

// New takes the process's addresses and puts its parts together; nothing runs yet.
func New(s *settings.Gateway, newPlatform NewPlatform, logger log.Logger) (*Server, error) {
	l, err := listen(s)
	if err != nil {
		return nil, err
	}
	t, err := listenToNodes(s)
	if err != nil {
		return nil, err
	}
	n := NewOver(t, s, newPlatform, logger)
	n.listeners = l
	return n, nil
}

// NewOver puts together a process that exchanges with others over t and takes no callers.
func NewOver(t Transport, s *settings.Gateway, newPlatform NewPlatform, logger log.Logger) *Server {
	n := &Server{
		settings: s, logger: logger, started: clock.Now(), transport: t, calls: httpcall.NewClient(), directory: endpoint.NewDirectory(s.EndpointBeat()),
		caller: gossip.NewCaller(t.Dial),
	}
	n.calls.DialTimeout = dialTimeout
	n.reporter = metrics.NewReporter()
	n.scope, n.closeScope = newScope(n.reporter, s.DataCentre)
	n.startDraw = rand.Float64() //nolint:gosec // spreads questions
	n.platform = newPlatform(s, n.calls)
	self := gossip.Identity{
		VM: s.VM, Incarnation: uuid.NewString()[:8], Zone: s.DataCentre, CallerAddress: s.CallerAddress,
		GossipAddress: s.PeerAddress, PeerAddress: s.PeerAddress, Capacity: uint32(s.Capacity * capacityUnit),
	}
	n.election = newElection(n.started, self.Capacity)
	n.election.yields = n.yields
	n.gossip = gossip.NewNode(self, t.Datagrams, n.status)
	n.gossip.Add(s.Peers...)
	n.isolate()
	leads := func() bool { return n.controller.Leads(clock.Now()) > 0 }
	n.follower = follow.NewFollower(n.platform.Objects, n.caller, s.VM, leads, n.gossip.Live, logger)
	n.follower.KeepsAll, n.follower.Others = n.keepsAll, n.gossip.Known
	n.follower.Beat = s.EndpointBeat()
	n.follower.StartPatience, n.follower.Relaying = n.startPatience, n.relays
	if s.Evacuations {
		n.follower.Also(keys.Evacuations)
	}
	n.gossip.OnBeat = n.heard
	n.gossip.CapacityOfRequest = capacityUnit * coresOfRequest / usedPart
	n.gossip.OnSent = countBeats(n.scope)
	n.rpc = gossip.NewServer(self.Incarnation, n.follower.Mirror, n.askFor)
	n.rates = ratelimit.NewTable(n.started)
	n.rates.Changed = n.limitChanged
	n.picker = picker.New(picker.Options{
		Limits: n.rates, Zone: s.DataCentre, Directory: n.directory, Others: n.gossip.Others, Retiring: n.retiring, Lost: n.lost, Doubted: n.gossip.Kick,
	})
	ttl := s.LeaseTTL()
	n.keeper = holder.NewKeeper(n.platform.Objects, leaseName, s.VM, ttl, ttl/leaseMarginPart, n.wantsLead, logger)
	n.controller = formation.NewController(formation.Options{
		Engine: n.platform.Engine, Directory: n.directory, Table: n.table.Load, Lease: n.keeper.Held, Beat: s.EndpointBeat(),
		Current: func() time.Time { return n.follower.Current(keys.Endpoints) }, Listed: n.listedAsOf, Others: n.gossip.Others, Own: n.ownStatus,
		Busy: func() bool { return n.requests.Load() > 0 }, Heard: n.heardElsewhere, Told: n.gossip.Kick, Logger: logger,
	})
	decisions := eventlog.NewDecisions(logger, eventlog.Limits{SampleOneIn: s.SampleOneIn, Failures: s.FailureLinesSecond})
	n.gateway = gateway.New(gateway.Options{
		Table: n.table.Load, Proof: func() time.Time { return n.follower.Current(keys.Accepted) }, ProofLimit: s.CredentialProof(),
		ProofOptional: !s.CredentialProofRequired,
		Picker:        n.picker, Quarantine: n.quarantine, Inquiry: n.inquiry, Limits: retry.Limits{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow()},
		Nodes: n.sharers,
		Story: func(id string) gateway.Story { return decisions.Request(id) },
		Scope: n.scope,
	})
	return n
}

func (n *Server) limits() route.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

// Run serves until ctx ends, and then finishes what has begun.
func (n *Server) Run(ctx context.Context) error {
	_ = level.Info(n.logger).Log("msg", "started", "caller", n.settings.CallerAddress, "peer", n.settings.PeerAddress, "store", n.settings.StoreAddress)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	handler := n.platform.Callers(n.gateway, n.limits, n.leaving.Load)
	callers := newHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		if n.traffic.add(clock.Now()) {
			n.gossip.Kick() // it needs the others' loads now
		}
		handler.ServeHTTP(w, r)
	}))
	registry := newHTTP(n.platform.Registry(n.addresses, n.settings.AddressLifetime()))
	readiness := newHTTP(n.platform.Readiness(n.ready))
	var g errgroup.Group
	figures := newHTTP(n.figures())
	for _, l := range []struct {
		server *http.Server
		on     net.Listener
	}{
		{callers, n.listeners.caller}, {registry, n.listeners.registry}, {readiness, n.listeners.readiness}, {figures, n.listeners.metrics},
	} {
		if l.on != nil {
			g.Go(func() error { return served(l.server.Serve(l.on)) })
		}
	}
	g.Go(func() error { _ = n.rpc.Serve(work, n.transport.Calls); return nil })
	for _, run := range []func(context.Context) error{
		n.gossip.Run, n.follower.Run, n.keeper.Run, n.controller.Run, n.takeChanges, n.register, n.sweep, n.gauge, n.watchProof, n.holds.Run,
	} {
		g.Go(func() error { return run(work) })
	}
	g.Go(func() error {
		<-ctx.Done()
		n.leave(callers)
		stop()
		return errors.Join(registry.Close(), readiness.Close(), callers.Close(), figures.Close())
	})
	err := g.Wait()
	_ = level.Info(n.logger).Log("msg", "stopped", "err", err)
	return errors.Join(err, n.caller.Close(), n.closeScope.Close())
}

func newHTTP(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeaderBytes}
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// sweep forgets what has grown old.
func (n *Server) sweep(ctx context.Context) error {
	loop.Every(ctx, sweepEvery, func(now time.Time) {
		n.calls.Sweep()
		n.picker.Sweep(now)
		n.rates.Sweep(now)
		n.quarantine.Sweep(now)
		n.inquiry.Sweep(now)
	})
	return nil
}

// Table returns the configuration in force, nil before there is one.
func (n *Server) Table() *route.Table { return n.table.Load() }

// Leads reports whether this node leads.
func (n *Server) Leads() bool { return n.controller.Leads(clock.Now()) > 0 }

// Ready reports whether this node takes new callers.
func (n *Server) Ready() bool { return n.ready() }

// Endpoints returns what this node lists.
func (n *Server) Endpoints() *endpoint.Snapshot { return n.directory.Read() }
