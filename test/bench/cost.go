package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/standin"
)

// serveProxy runs the baseline, the standard library's reverse proxy, for the server at address backend. It prints its own address.
func serveProxy(backend string) {
	target := &url.URL{Scheme: "http", Host: backend}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	transport := http.DefaultTransport.(*http.Transport).Clone() //nolint:forcetypeassert // DefaultTransport is a *http.Transport
	transport.MaxIdleConnsPerHost = 1024
	proxy.Transport = transport
	s, err := standin.StartServer("127.0.0.1:0", proxy)
	if err != nil {
		panic(err)
	}
	fmt.Println(s.Address)
	select {}
}

// startProxy starts this program as a reverse proxy for the server at address backend.
func startProxy(backend string) (address string, process *exec.Cmd, err error) {
	self, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	process = exec.Command(self, "-proxy", backend) //nolint:gosec // this program itself
	out, err := process.StdoutPipe()
	if err != nil {
		return "", nil, err
	}
	if err := process.Start(); err != nil {
		return "", nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	return strings.TrimSpace(line), process, err
}

const costDuration = 3 * time.Second

// cost measures the overhead of one node: requests and stream events per second of CPU time, added latency, and memory.
func cost(h *harness) ([]result, error) {
	l, nodes, err := h.start(lab.Options{TokenInterval: 5 * time.Millisecond, Config: h.root + "/test/bench/config"}, 1, 4)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	plain := l.PlainEndpoints["receipts-1"]
	proxy, process, err := startProxy(plain.Address)
	if err != nil {
		return nil, err
	}
	defer process.Process.Kill() //nolint:errcheck // child process
	node := nodes[0].Settings.CallerAddress
	direct := newGetCall(plain.Address, "/receipts")
	viaProxy := newGetCall(proxy, "/receipts")
	viaNode := newGetCall(node, "/services/receipts/receipts")
	rows := []result{}
	proxyRate := callsPerCPUSecond(process.Process.Pid, viaProxy)
	nodeRate := callsPerCPUSecond(nodes[0].PID(), viaNode)
	rows = append(rows, result{"requests a core", "1/s", proxyRate, nodeRate, ">=1.5x", nodeRate >= 1.5*proxyRate})
	base, baseProxy, ours := interleavedLatencies(direct, viaProxy, viaNode)
	rows = append(rows,
		result{"added latency p50, to the proxy's", "ms", baseProxy.percentileMS(50) - base.percentileMS(50), ours.percentileMS(50) - base.percentileMS(50), "-", true},
		result{"added latency p99, to the proxy's", "ms", baseProxy.percentileMS(99) - base.percentileMS(99), ours.percentileMS(99) - base.percentileMS(99), "<1", ours.percentileMS(99)-base.percentileMS(99) < 1})
	more, err := streamCost(l, nodes[0])
	return append(rows, more...), err
}

func newGetCall(address, path string) func() bool {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	return func() bool {
		r, _ := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		r.Header.Set("Authorization", "Bearer gifts-caller-token")
		answer, err := client.Do(r)
		if err != nil {
			return false
		}
		defer answer.Body.Close() //nolint:errcheck // read-only body
		_, _ = bufio.NewReader(answer.Body).Peek(1)
		return answer.StatusCode == http.StatusOK
	}
}

// callsPerCPUSecond returns the number of successful calls per second of CPU time of the process.
func callsPerCPUSecond(pid int, call func() bool) float64 {
	before := lab.UsageOf(pid).CPUSeconds
	succeeded, _ := closedLoop(32, costDuration, func(int) bool { return call() })
	return float64(succeeded) / (lab.UsageOf(pid).CPUSeconds - before)
}

// interleavedLatencies measures three kinds of calls in alternation, so that all run under the same conditions of the machine.
func interleavedLatencies(calls ...func() bool) (a, b, c *latencies) {
	out := []*latencies{newLatencies(), newLatencies(), newLatencies()}
	const rounds = 4000
	for range rounds {
		for i, call := range calls {
			start := time.Now()
			if call() {
				out[i].add(time.Since(start))
			}
		}
	}
	return out[0], out[1], out[2]
}

// streamCost measures 1,000 open streams through the node, and up to 480 through the proxy to one engine.
func streamCost(l *lab.Lab, node *lab.Node) ([]result, error) {
	const streams = 1000
	idle := lab.UsageOf(node.PID()).MemoryMB
	s, err := l.Status()
	if err != nil {
		return nil, err
	}
	leader := ""
	for _, g := range s.Groups {
		if g.Usable && g.Model == "letters-70b" {
			leader = g.VMs[0]
		}
	}
	engine := l.Engines[leader]
	proxy, process, err := startProxy(engine.Address)
	if err != nil {
		return nil, err
	}
	defer process.Process.Kill() //nolint:errcheck // child process
	caller := lab.NewCaller("donors-caller-token")
	ours, memory := streamRate(node.PID(), streams, func(i int, onEvent func(int) error) {
		caller.Complete(node.Settings.CallerAddress, lab.Completion{Model: "letters-70b", Prompt: fmt.Sprint(i), Tokens: 2000, OnEvent: onEvent})
	})
	state := engine.State()
	base, baseMemory := streamRate(process.Process.Pid, min(streams, 480), func(i int, onEvent func(int) error) {
		caller.CompleteAtEngine(proxy, state, lab.Completion{Prompt: fmt.Sprint(i), Tokens: 2000, OnEvent: onEvent})
	})
	return []result{
		{"stream events a core", "1/s", base, ours, ">=200000", ours >= 200000},
		{"memory a 1000 open streams", "MB", baseMemory, memory, "-", true},
		{"memory without load", "MB", 0, idle, "<32", idle < 32},
	}, nil
}

// streamRate opens streams and returns their events per second of the process's CPU time while all are open, and its memory in MB.
func streamRate(pid, streams int, open func(i int, onEvent func(int) error)) (perCore, memory float64) {
	var events atomic.Int64
	var stop atomic.Bool
	done := make(chan struct{})
	for i := range streams {
		go func() {
			open(i, func(int) error {
				events.Add(1)
				if stop.Load() {
					return lab.ErrCallerLeft
				}
				return nil
			})
			done <- struct{}{}
		}()
	}
	time.Sleep(2 * time.Second)
	before, cpu := events.Load(), lab.UsageOf(pid).CPUSeconds
	time.Sleep(costDuration)
	perCore = float64(events.Load()-before) / (lab.UsageOf(pid).CPUSeconds - cpu)
	memory = lab.UsageOf(pid).MemoryMB
	stop.Store(true)
	for range streams {
		<-done
	}
	return perCore, memory
}
