// Package reach tests nodes of the gateway, in one process, whose paths to endpoints are cut.
package reach

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/server"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/estate"
	"moorrun.dev/moorrun/internal/standin/paths"
	"moorrun.dev/moorrun/platform"
)

const (
	// waitTimeout bounds waits that exceed it only if the gateway is faulty.
	waitTimeout = 20 * time.Second
	nodeCount   = 4
	openGroups  = 4
)

// node is one gateway process in front of the endpoints.
type node struct {
	*server.Server
	vm       string
	settings settings.Gateway
	accepted *acceptedConns // from other nodes
	stop     context.CancelFunc
	stopped  chan error
}

// fleet is four nodes, eight engine endpoints and two plain ones.
type fleet struct {
	t        *testing.T
	platform *estate.Platform
	paths    *paths.Paths
	nodes    []*node
	attempts atomic.Int64
}

// loopbackHosts numbers the loopback hosts of this process.
var loopbackHosts atomic.Int32

// freeAddresses returns n addresses on one loopback host, with ports chosen by the kernel.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.2:0", 7+os.Getpid()%240, loopbackHosts.Add(1))
	var out []string
	for range n {
		lis, err := net.Listen("tcp", host)
		qt.Assert(t, err, qt.IsNil)
		defer lis.Close() //nolint:errcheck // only its port is needed
		out = append(out, lis.Addr().String())
	}
	return out
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: estate.New(), paths: paths.New()}
	t.Cleanup(f.close)
	f.platform.Configure(1, 5000, "key-1")
	for range 2 * openGroups {
		f.platform.StartWorker("engines")
	}
	for range 2 {
		f.platform.StartWorker("plain")
	}
	for i := range nodeCount {
		f.nodes = append(f.nodes, f.start(i))
	}
	f.await("every node serves", func() bool {
		for _, n := range f.nodes {
			if !n.Ready() {
				return false
			}
		}
		return len(f.platform.OpenHeads()) == openGroups
	})
	for _, n := range f.nodes {
		f.await("the node routes requests", func() bool { return f.stream(n) == nil && f.call(n) == nil })
	}
	return f
}

func (f *fleet) start(i int) *node {
	free := freeAddresses(f.t, 4)
	n := &node{vm: fmt.Sprintf("vm-%d", i), stopped: make(chan error, 1)}
	n.settings = settings.Gateway{
		VM: n.vm, DataCentre: "z1", Region: "r1", CallerAddress: free[0], ReadinessAddress: free[1], RegistryAddress: free[2], PeerAddress: free[3],
		StoreAddress: f.platform.Store.Address(), CredentialProofMS: 5000, CredentialProofRequired: true, GraceMS: 500, AddressLifetimeMS: 1000,
		RepeatRatio: 0.2, RepeatSlack: 100, RepeatWindowMS: 10000, LeaseTTLMS: 1500, EndpointBeatMS: 1200, Capacity: 1, StallMS: 5000,
		SampleOneIn: 1, FailureLinesSecond: 1000,
	}
	t, err := server.ListenToNodes(&n.settings)
	qt.Assert(f.t, err, qt.IsNil)
	t.Endpoints = func(ctx context.Context, address string) (net.Conn, error) { return f.paths.Dial(ctx, n.vm, address) }
	n.accepted = &acceptedConns{Listener: t.Calls}
	t.Calls = n.accepted
	n.Server = server.NewWithTransport(t, &n.settings, platform.New, f.logger(n.vm))
	qt.Assert(f.t, n.Listen(), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.stopped <- n.Run(ctx) }()
	return n
}

// logger returns a logger to the file that MOORRUN_TEST_LOG names, if any.
func (f *fleet) logger(vm string) log.Logger {
	name := os.Getenv("MOORRUN_TEST_LOG")
	if name == "" {
		return log.NewNopLogger()
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(func() { _ = file.Close() })
	return log.With(log.NewJSONLogger(log.NewSyncWriter(file)), "vm", vm, "ts", log.DefaultTimestampUTC, "test", f.t.Name())
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.stopped
	}
	breaches := f.platform.Breaches()
	f.paths.Close()
	f.platform.Close()
	qt.Check(f.t, breaches, qt.HasLen, 0)
}

// await polls until a condition holds, and fails the test after waitTimeout.
func (f *fleet) await(description string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// leader returns the nodes with the leader first.
func (f *fleet) leaderFirst() []*node {
	var out []*node
	f.await("one node leads", func() bool {
		var others []*node
		out = nil
		for _, n := range f.nodes {
			if n.Leads() {
				out = append(out, n)
			} else {
				others = append(others, n)
			}
		}
		count := len(out)
		out = append(out, others...)
		return count == 1
	})
	return out
}

// callers share connections to the nodes, as browsers and libraries do.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a request and returns its answer's body. The error says why the request was not served.
func (f *fleet) send(n *node, path string) (id, body string, err error) {
	id = fmt.Sprintf("attempt-%d", f.attempts.Add(1))
	r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddress+path, strings.NewReader("body"))
	if err != nil {
		return id, "", err
	}
	r.Host = "h.example"
	r.Header.Set("X-Moorrun-Attempt-Id", id)
	r.Header.Set("X-Moorrun-Model", "m")
	r.Header.Set("X-Moorrun-Deadline-Ms", "6000")
	r.Header.Set("Authorization", "Bearer key-1")
	answer, err := callers.Do(r)
	if err != nil {
		return id, "", err
	}
	defer answer.Body.Close() //nolint:errcheck // the body is read to its end
	raw, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", answer.StatusCode, raw)
	}
	return id, string(raw), err
}

// stream sends a request for a stream and checks that all of it arrives.
func (f *fleet) stream(n *node) error {
	id, body, err := f.send(n, "/lm/x")
	if err != nil {
		return err
	}
	var want strings.Builder
	for i := range estate.EventsPerStream {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i+1, id)
	}
	if body != want.String() {
		return errors.New("the stream is not complete: " + body)
	}
	return nil
}

// call sends a request that may run once.
func (f *fleet) call(n *node) error {
	id, body, err := f.send(n, "/once/x")
	switch {
	case err != nil:
		return err
	case body != "whole answer to "+id:
		return errors.New("another answer: " + body)
	case len(f.platform.Runs(id)) != 1:
		return fmt.Errorf("the request ran %d times", len(f.platform.Runs(id)))
	}
	return nil
}

// served is how many requests were sent and served.
type served struct{ sent, served int }

// load sends requests to the nodes for a while, from some callers at each node, and returns what was served at each.
func (f *fleet) load(d time.Duration, nodes ...*node) map[*node]served {
	const callersPerNode = 3
	out := make(map[*node]served)
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, n := range nodes {
		for i := range callersPerNode {
			wg.Go(func() {
				for time.Now().Before(end) {
					send := f.stream
					if i == 0 {
						send = f.call
					}
					err := send(n)
					if err != nil {
						f.t.Logf("%s: %v", n.vm, err)
					}
					mu.Lock()
					s := out[n]
					s.sent++
					if err == nil {
						s.served++
					}
					out[n] = s
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return out
}

// groupNames returns the names of the open groups, by the ID of the head.
func (f *fleet) groupNames() map[string]string {
	out := make(map[string]string)
	for _, w := range f.platform.OpenHeads() {
		out[w.ID] = w.GroupName()
	}
	return out
}
