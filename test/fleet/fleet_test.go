// Package fleet runs many nodes of moorrund's gateway in virtual time over a stand-in network and against a stand-in store. It
// counts their store calls, the traffic between them, and the retries that endpoints receive from them.
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
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/server"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/network"
	"moorrun.dev/moorrun/platform"
)

const (
	// startSpread is the period over which the starts of all nodes are spread.
	startSpread = 300 * time.Millisecond
	// largeVMsPerDataCentre is the number of nodes of a data centre that run on a large VM.
	largeVMsPerDataCentre        = 10
	largeCapacity, smallCapacity = 0.8, 0.192 // in cores
	// entryInterval is the interval at which endpoints write their entries.
	entryInterval = 5 * time.Second
	// enginesPerNode is the number of engine endpoints per node.
	enginesPerNode = 3
)

func dataCentreName(i int) string { return fmt.Sprintf("data-centre-%d", i) }

// process is one process of a node.
type process struct {
	server   atomic.Pointer[server.Server] // nil until the server has been created
	port     *network.Port
	storeCut *bool // cut off from the store; guarded by store.mu
	cancel   context.CancelFunc
}

// retryLimits are the limits on retries, which a fleet of any size shares.
var retryLimits = retry.Limits{Ratio: 0.2, Slack: 132, Window: 10 * time.Second}

// fleet is the nodes together with their network, store and endpoints.
type fleet struct {
	store     *store
	endpoints *endpointSim
	callers   *callers
	network   *network.Network
	processes []*process
	tasks     errgroup.Group
	logger    log.Logger
}

// newFleet starts the given number of nodes with a configuration and simulated endpoints.
func newFleet(nodes int) *fleet {
	s := newStore()
	f := &fleet{store: s, endpoints: newEndpointSim(s), callers: &callers{}, network: network.New(), processes: make([]*process, nodes), logger: log.NewNopLogger()}
	f.endpoints.start(nodes*enginesPerNode, entryInterval)
	s.write("accepted/main", configuration())
	f.startAll(true)
	return f
}

// startAll starts a process of each node, all within startSpread. firstStart means that no node is registered in the store.
func (f *fleet) startAll(firstStart bool) {
	for i := range f.processes {
		f.processes[i] = f.start(i, firstStart)
	}
	time.Sleep(startSpread)
}

// start starts a process of a node within startSpread.
func (f *fleet) start(i int, firstStart bool) *process {
	proc := f.newProcess(i)
	ctx, cancel := context.WithCancel(context.Background())
	proc.cancel = cancel
	f.tasks.Go(func() error {
		time.Sleep(time.Duration(i*7919%1000) * startSpread / 1000)
		n := f.newServer(i, proc, firstStart)
		proc.server.Store(n)
		return n.Run(ctx) // returns at once if the process has been killed in the meantime
	})
	return proc
}

func (f *fleet) newProcess(i int) *process {
	return &process{port: f.network.Open(i), storeCut: new(bool)}
}

func (f *fleet) newServer(i int, proc *process, firstStart bool) *server.Server {
	s := &settings.Gateway{
		VM: fmt.Sprintf("entry-%03d", i), DataCentre: dataCentreName(proc.port.DataCentre()), Region: "r", CallerAddress: proc.port.Address(), PeerAddress: proc.port.Address(),
		Capacity: smallCapacity, CredentialProofMS: 5000, CredentialProofRequired: true, Evacuations: true, GraceMS: 1000, AddressLifetimeMS: 1000,
		RepeatRatio: retryLimits.Ratio, RepeatSlack: retryLimits.Slack, RepeatWindowMS: settings.Milliseconds(retryLimits.Window / time.Millisecond), LeaseTTLMS: 1500, FirstStart: firstStart, EndpointBeatMS: int(entryInterval / time.Millisecond), SampleOneIn: 20, FailureLinesSecond: 20,
	}
	if i < largeVMsPerDataCentre*network.DataCentres {
		s.Capacity = largeCapacity
	}
	newPlatform := func(s *settings.Gateway, calls *httpcall.Client) *server.Platform {
		p := platform.New(s, calls)
		client := storeClient{f.store, proc.storeCut}
		p.Objects, p.Recent, p.Engine = client, client.listRecent, f.endpoints
		p.Callers = f.callers.handler
		return p
	}
	t := server.Transport{Datagrams: proc.port, Calls: proc.port.Listener(), Dial: proc.port.Dial}
	return server.NewWithTransport(t, s, newPlatform, log.With(f.logger, "vm", s.VM))
}

// killAll kills all processes.
func (f *fleet) killAll() { f.kill(f.processes...) }

// kill kills processes without a shutdown: nothing that they still send arrives.
func (f *fleet) kill(processes ...*process) {
	for _, proc := range processes {
		f.network.SetUnreachable(true, proc.port)
		f.cutFromStore(true, proc)
		proc.cancel()
	}
}

// cutFromStore cuts processes off from the store, or reconnects them if cut is false.
func (f *fleet) cutFromStore(cut bool, processes ...*process) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, proc := range processes {
		*proc.storeCut = cut
	}
}

// stop shuts all nodes down and waits for them.
func (f *fleet) stop() {
	for _, proc := range f.processes {
		proc.cancel()
	}
	_ = f.tasks.Wait()
}

// count returns the number of started nodes for which the condition holds.
func (f *fleet) count(condition func(n *server.Server) bool) int {
	count := 0
	for _, proc := range f.processes {
		if n := proc.server.Load(); n != nil && condition(n) {
			count++
		}
	}
	return count
}

// countConfigured returns the number of nodes that have a configuration in force.
func (f *fleet) countConfigured() int {
	return f.count(func(n *server.Server) bool { return n.Table() != nil })
}

// countRouting returns the number of nodes that list all open groups.
func (f *fleet) countRouting() int {
	groups, _, _ := f.endpoints.stats()
	return f.count(func(n *server.Server) bool { return countOpenGroups(n.Endpoints()) >= groups })
}

// countReady returns the number of nodes that accept callers: those whose configuration was recently proved current.
func (f *fleet) countReady() int { return f.count((*server.Server).Ready) }

// leaderIndex returns the index of the leader, or -1 if no node leads.
func (f *fleet) leaderIndex() int {
	for i, proc := range f.processes {
		if n := proc.server.Load(); n != nil && n.Leads() {
			return i
		}
	}
	return -1
}

func countOpenGroups(s *endpoint.Snapshot) int {
	n := 0
	for _, g := range s.Groups {
		if g.Head != nil && g.Head.Membership.State == endpoint.Open {
			n++
		}
	}
	return n
}

// await polls until the condition holds or the timeout expires. It returns the time waited and whether the condition holds.
func await(timeout time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			return timeout, false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start), true
}

// traffic returns the traffic sent by all nodes together and by the node that has sent the most bytes.
func (f *fleet) traffic() (total, busiest network.Traffic) {
	for _, proc := range f.processes {
		sent := f.network.Sent(proc.port)
		total.Datagrams += sent.Datagrams
		total.Bytes += sent.Bytes
		total.CrossDataCentreBytes += sent.CrossDataCentreBytes
		total.DatagramBytes += sent.DatagramBytes
		if sent.Bytes > busiest.Bytes {
			busiest = sent
		}
	}
	return total, busiest
}

// workspaceKey returns the API key of a workspace.
func workspaceKey(i int) string { return strings.Repeat(fmt.Sprintf("%04d", i), 5) }

// configuration returns a configuration with a service of engines for two models, a plain service, and several hundred
// routes and workspaces.
func configuration() map[string]any {
	var routes, workspaces []map[string]any
	for i := range 250 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("idle-%d", i), "hostname": fmt.Sprintf("h%d.example", i%7), "path_prefix": fmt.Sprintf("/p%d", i), "route_kind": "idempotent",
			"timeout_ms": 1000, "slo_ms": 150, "priority": 2, "service": "plain", "max_attempts": 2, "public": false,
		})
	}
	for i := range 333 {
		workspaces = append(workspaces, map[string]any{"name": fmt.Sprintf("w%d", i), "api_keys": []string{workspaceKey(i)}})
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
