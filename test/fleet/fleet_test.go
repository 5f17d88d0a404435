// Package fleet runs many nodes of moorrund's gateway, without callers, over a stand-in network and before a stand-in
// store in virtual time, and counts what they ask the store and send each other.
package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/server"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/network"
	"moorrun.dev/moorrun/platform"
)

const (
	// startSpread is within what all nodes start.
	startSpread = 300 * time.Millisecond
	// largeADataCentre is how many nodes of a data centre have a large VM.
	largeADataCentre = 10
	largeVM, smallVM = 0.8, 0.192
	// beat is how often endpoints write their entries.
	beat = 5 * time.Second
	// enginesANode is how many engine endpoints there are for each node.
	enginesANode = 3
)

func zoneOf(i int) string { return fmt.Sprintf("data-centre-%d", i) }

// life is one process of a node.
type life struct {
	server atomic.Pointer[server.Server] // nil until it has started
	port   *network.Port
	cut    *bool // from the store
	end    context.CancelFunc
}

// fleet is the nodes and what surrounds them.
type fleet struct {
	store   *store
	estate  *estate
	network *network.Network
	lives   []*life
	running errgroup.Group
	logger  log.Logger
}

// newFleet starts that many nodes before an estate of endpoints and a configuration.
func newFleet(nodes int) *fleet {
	s := newStore()
	f := &fleet{store: s, estate: newEstate(s), network: network.New(), lives: make([]*life, nodes), logger: log.NewNopLogger()}
	f.estate.start(nodes*enginesANode, beat)
	s.write("accepted/main", configuration())
	f.startAll(true)
	return f
}

// startAll starts a process of each node, all within startSpread; first says that no node is known to the store.
func (f *fleet) startAll(first bool) {
	for i := range f.lives {
		l := f.prepare(i)
		f.lives[i] = l
		ctx, cancel := context.WithCancel(context.Background())
		l.end = cancel
		f.running.Go(func() error {
			time.Sleep(time.Duration(i*7919%1000) * startSpread / 1000)
			n := f.newServer(i, l, first)
			l.server.Store(n)
			return n.Run(ctx) // which ends at once if the node was killed meanwhile
		})
	}
	time.Sleep(startSpread)
}

func (f *fleet) prepare(i int) *life { return &life{port: f.network.Open(i), cut: new(bool)} }

func (f *fleet) newServer(i int, l *life, first bool) *server.Server {
	s := &settings.Gateway{
		VM: fmt.Sprintf("entry-%03d", i), DataCentre: zoneOf(l.port.DataCentre()), Region: "r", CallerAddress: l.port.Address(), PeerAddress: l.port.Address(),
		Capacity: smallVM, CredentialProofMS: 5000, CredentialProofRequired: true, Evacuations: true, GraceMS: 1000, AddressLifetimeMS: 1000,
		RepeatRatio: 0.2, RepeatSlack: 1000, RepeatWindowMS: 10000, LeaseTTLMS: 1500, FirstStart: first, EndpointBeatMS: int(beat / time.Millisecond), SampleOneIn: 20, FailureLinesSecond: 20,
	}
	if i < largeADataCentre*network.DataCentres {
		s.Capacity = largeVM
	}
	newPlatform := func(s *settings.Gateway, calls *httpcall.Client) *server.Platform {
		p := platform.New(s, calls)
		h := handle{f.store, l.cut}
		p.Objects, p.Recent, p.Engine = h, h.recent, f.estate
		return p
	}
	t := server.Transport{Datagrams: l.port, Calls: l.port.Listener(), Dial: l.port.Dial}
	return server.NewWithTransport(t, s, newPlatform, log.With(f.logger, "vm", s.VM))
}

// killAll ends all processes without a word: nothing that they still say arrives.
func (f *fleet) killAll() {
	for _, l := range f.lives {
		f.network.SetUnreachable(true, l.port)
		f.cutFromStore(true, l)
		l.end()
	}
}

// cutFromStore keeps nodes from the store, or lets them reach it again.
func (f *fleet) cutFromStore(cut bool, lives ...*life) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, l := range lives {
		*l.cut = cut
	}
}

// end stops all nodes.
func (f *fleet) end() {
	for _, l := range f.lives {
		l.end()
	}
	_ = f.running.Wait()
}

// count returns for how many nodes that have started the condition holds.
func (f *fleet) count(holds func(n *server.Server) bool) int {
	count := 0
	for _, l := range f.lives {
		if n := l.server.Load(); n != nil && holds(n) {
			count++
		}
	}
	return count
}

// configured returns how many nodes know the configuration.
func (f *fleet) configured() int {
	return f.count(func(n *server.Server) bool { return n.Table() != nil })
}

// routing returns how many nodes list all open groups.
func (f *fleet) routing() int {
	groups, _, _ := f.estate.open()
	return f.count(func(n *server.Server) bool { return openGroups(n.Endpoints()) >= groups })
}

// ready returns how many nodes take callers: they know a configuration that was proved current lately.
func (f *fleet) ready() int { return f.count((*server.Server).Ready) }

// leader returns the number of the node that leads, or -1.
func (f *fleet) leader() int {
	for i, l := range f.lives {
		if n := l.server.Load(); n != nil && n.Leads() {
			return i
		}
	}
	return -1
}

func openGroups(s *endpoint.Snapshot) int {
	n := 0
	for _, g := range s.Groups {
		if g.Head != nil && g.Head.Membership.State == endpoint.Open {
			n++
		}
	}
	return n
}

// await waits until the condition holds, for some time at most, and returns how long that took and whether it came to it.
func await(most time.Duration, holds func() bool) (time.Duration, bool) {
	began := time.Now()
	for !holds() {
		if time.Since(began) > most {
			return most, false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began), true
}

// traffic is what all nodes have sent, and what the busiest has.
func (f *fleet) traffic() (all, busiest network.Traffic) {
	for _, l := range f.lives {
		sent := f.network.Sent(l.port)
		all.Datagrams += sent.Datagrams
		all.Bytes += sent.Bytes
		all.CrossDataCentreBytes += sent.CrossDataCentreBytes
		all.DatagramBytes += sent.DatagramBytes
		if sent.Bytes > busiest.Bytes {
			busiest = sent
		}
	}
	return all, busiest
}

// configuration is one of a service of engines with two models, a plain one, and some hundred routes and workspaces.
func configuration() map[string]any {
	var routes, workspaces []map[string]any
	for i := range 250 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("idle-%d", i), "hostname": fmt.Sprintf("h%d.example", i%7), "path_prefix": fmt.Sprintf("/p%d", i), "route_kind": "idempotent",
			"timeout_ms": 1000, "slo_ms": 150, "priority": 2, "service": "plain", "max_attempts": 2, "public": false,
		})
	}
	for i := range 333 {
		workspaces = append(workspaces, map[string]any{"name": fmt.Sprintf("w%d", i), "api_keys": []string{strings.Repeat(fmt.Sprintf("%04d", i), 5)}})
	}
	return map[string]any{
		"version": 1, "routes": routes, "tenants": workspaces, "limits": map[string]any{"max_header_bytes": 8192, "max_body_bytes": 1 << 20},
		"services": []map[string]any{
			{"name": "plain", "max_conns": 1800},
			{"name": engines, "max_conns": 1956, "engine": map[string]any{
				"slots": 14, "loads_per_s": 250, "loads_at_once": 380, "form_ms": 300, "step_ms": 7.8, "read_per_s": 45900, "stride": 8,
				"models": []map[string]any{
					{"name": "m0", "size": 8, "pace": 1, "share": 0.5, "load_s": 16, "warm_s": 1.6},
					{"name": "m1", "size": 4, "pace": 0.6, "share": 0.5, "load_s": 12, "warm_s": 1.1},
				},
			}},
		},
	}
}
