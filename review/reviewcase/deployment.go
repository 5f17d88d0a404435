package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"moorrun.dev/moorrun/internal/standin/estate"
)

const (
	startTimeout = 40 * time.Second
	// fullFor is how long the workers' queues of new connections stay full once they are: a gateway turns to another one when a
	// connection has taken 100 ms, and that one connects at once.
	fullFor = 60 * time.Millisecond
)

// Parts of the operator's configuration, with the figures of a small deployment.
var (
	limits        = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	engineService = map[string]any{"name": "engines", "max_conns": 378, "engine": map[string]any{
		"slots": 17, "loads_per_s": 5, "loads_at_once": 7, "form_ms": 300, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096,
		"read_per_s": 45900, "pairs_per_m": 0.433, "stride": 5, "chunk": 2048,
		"models": []map[string]any{{"name": modelName, "size": 2, "pace": 1.0, "share": 1.0, "load_s": 12.0, "warm_s": 1.1}},
	}}
	streamRoute = map[string]any{
		"name": "summary", "hostname": callerHost, "path_prefix": "/lm/", "route_kind": "streaming", "resumable": true, "sticky": true,
		"service": "engines", "timeout_ms": 6000, "slo_ms": 300, "gap_target_ms": 200, "max_attempts": 2, "priority": 1,
	}
)

// plan describes a deployment.
type plan struct {
	gateways      int
	engineWorkers int
	groups        int      // how many groups the engine workers form
	plainServices []string // one worker each
	maxFiles      int      // descriptors of a gateway; 0 for no limit of its own
	config        func() map[string]any
	settings      map[string]any // settings of the gateways that differ between deployments
}

// deployment is a small deployment on loopback.
type deployment struct {
	plan     plan
	dir      string
	record   *record
	store    *estate.Store
	workers  []*worker
	gateways []*gateway
}

func newDeployment(daemon string, r *record, p plan) (*deployment, error) {
	dir, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		return nil, err
	}
	d := &deployment{plan: p, dir: dir, record: r, store: estate.NewStore()}
	go d.endEarly()
	if err := d.start(daemon); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(daemon string) error {
	d.store.Write("config", "main", d.plan.config())
	services := d.plan.plainServices
	for range d.plan.engineWorkers {
		services = append(services, engineServiceName)
	}
	for i, service := range services {
		w, err := startWorker(fmt.Sprintf("i-%02d", i+1), service, d.store, d.record)
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	for i := range d.plan.gateways {
		g, err := newGateway(daemon, d.dir, i+1, d.store.Address(), d.plan)
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
		if err := g.start(true); err != nil {
			return err
		}
		d.record.add("%s started, process %d", g.name, g.command.Process.Pid)
	}
	return nil
}

// timeLimit is the time after which a case that has not ended is given up.
const timeLimit = 105 * time.Second

// endEarly ends all processes and this one at a signal, or when the case takes too long.
func (d *deployment) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	d.record.add("the case could not run: it was ended after %v at most", timeLimit)
	for _, g := range d.gateways {
		g.kill()
	}
	_ = os.RemoveAll(d.dir)
	os.Exit(exitNotRun)
}

// awaitUp waits until every gateway is ready and the groups are open.
func (d *deployment) awaitUp() error {
	end := time.Now().Add(startTimeout)
	for !d.isUp() {
		if time.Now().After(end) {
			return fmt.Errorf("the deployment did not come up within %v", startTimeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// awaitService waits until every gateway is ready, the groups are open, and the first gateway passes on whole streams.
func (d *deployment) awaitService() error {
	if err := d.awaitUp(); err != nil {
		return err
	}
	end := time.Now().Add(startTimeout)
	for try := 1; ; try++ {
		a := d.gateways[0].stream(fmt.Sprintf("first-%d", try), func() {})
		d.record.add("answer to %s: status %d, %d events, end %s", a.attempt, a.status, len(a.events), a.end())
		if a.status == 200 && a.err == nil && len(a.events) == eventsPerStream {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no whole stream within %v", startTimeout)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (d *deployment) isUp() bool {
	for _, g := range d.gateways {
		if !g.isReady() {
			return false
		}
	}
	return len(d.heads()) == d.plan.groups
}

func (d *deployment) heads() []*worker {
	var out []*worker
	for _, w := range d.workers {
		if w.isOpenHead() {
			out = append(out, w)
		}
	}
	return out
}

// fillQueues fills the queues of new connections of the groups' heads for a moment.
func (d *deployment) fillQueues() error {
	heads := d.heads()
	errs := make([]error, len(heads))
	var all sync.WaitGroup
	for i, w := range heads {
		all.Go(func() { errs[i] = w.queue.fill(fullFor) })
	}
	all.Wait()
	d.record.add("the heads' queues of new connections are full: opening packets are dropped for %v; %v", fullFor, errs)
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// senderOf returns the gateway that sent a request to a worker, or nil.
func (d *deployment) senderOf(attempt string) *gateway {
	for _, w := range d.workers {
		from := w.callerOf(attempt)
		for _, g := range d.gateways {
			if from != nil && g.ownsSocket(from) {
				return g
			}
		}
	}
	return nil
}

// kill kills a gateway.
func (d *deployment) kill(g *gateway) {
	g.kill()
	d.record.add("SIGKILL to %s", g.name)
}

// close ends all processes and removes their files.
func (d *deployment) close() {
	var all sync.WaitGroup
	for _, g := range d.gateways {
		all.Go(g.stop)
	}
	all.Wait()
	for _, w := range d.workers {
		_ = w.server.Close()
	}
	d.store.Close()
	_ = os.RemoveAll(d.dir)
}

// freeAddresses returns addresses with free ports on a loopback host of its own for each gateway, so that no two gateways get the same.
// Outgoing connections do not use these hosts and take none of the ports before the process listens on it.
func freeAddresses(gateway, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 8+os.Getpid()%200, gateway))
		if err != nil {
			return nil, err
		}
		defer l.Close() //nolint:errcheck // only its port is needed
		out = append(out, l.Addr().String())
	}
	return out, nil
}
