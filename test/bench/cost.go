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

// serveProxy is the baseline: the standard library's reverse proxy. It prints its address.
func serveProxy(to string) {
	target := &url.URL{Scheme: "http", Host: to}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	transport := http.DefaultTransport.(*http.Transport).Clone() //nolint:forcetypeassert // the library's own
	transport.MaxIdleConnsPerHost = 1024
	proxy.Transport = transport
	s, err := standin.StartServer("127.0.0.1:0", proxy)
	if err != nil {
		panic(err)
	}
	fmt.Println(s.Address)
	select {}
}

// startProxy starts this program as the proxy.
func startProxy(to string) (address string, process *exec.Cmd, err error) {
	self, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	process = exec.Command(self, "-proxy", to) //nolint:gosec // this program itself
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

const costTime = 3 * time.Second

// cost measures what one node adds: requests and tokens a second of processor time, latency and memory.
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
	defer process.Process.Kill() //nolint:errcheck // our own child
	node := nodes[0].Settings.CallerAddress
	direct := getter(plain.Address, "/receipts")
	viaProxy := getter(proxy, "/receipts")
	viaNode := getter(node, "/services/receipts/receipts")
	rows := []result{}
	proxyRate := perCPU(process.Process.Pid, viaProxy)
	nodeRate := perCPU(nodes[0].PID(), viaNode)
	rows = append(rows, result{"requests a core", "1/s", proxyRate, nodeRate, ">=1.5x", nodeRate >= 1.5*proxyRate})
	base, baseProxy, ours := latencyOf(direct, viaProxy, viaNode)
	rows = append(rows,
		result{"added latency p50, to the proxy's", "ms", baseProxy.ms(50) - base.ms(50), ours.ms(50) - base.ms(50), "-", true},
		result{"added latency p99, to the proxy's", "ms", baseProxy.ms(99) - base.ms(99), ours.ms(99) - base.ms(99), "<1", ours.ms(99)-base.ms(99) < 1})
	more, err := streamCost(l, nodes[0])
	return append(rows, more...), err
}

func getter(address, path string) func() bool {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	return func() bool {
		r, _ := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		r.Header.Set("Authorization", "Bearer gifts-caller-token")
		answer, err := client.Do(r)
		if err != nil {
			return false
		}
		defer answer.Body.Close() //nolint:errcheck // small
		_, _ = bufio.NewReader(answer.Body).Peek(1)
		return answer.StatusCode == http.StatusOK
	}
}

// perCPU returns good calls a second of the process's processor time.
func perCPU(pid int, call func() bool) float64 {
	before := lab.UsageOf(pid).CPUSeconds
	good, _ := closedLoop(32, costTime, func(int) bool { return call() })
	return float64(good) / (lab.UsageOf(pid).CPUSeconds - before)
}

// latencyOf takes the three in turn, so that the machine's state is the same for all.
func latencyOf(calls ...func() bool) (a, b, c *latencies) {
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

// streamCost measures 1,000 open streams through the node, and through the proxy to one engine.
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
	defer process.Process.Kill() //nolint:errcheck // our own child
	caller := lab.NewCaller("donors-caller-token")
	ours, memory := streamRate(node.PID(), streams, func(i int, each func(int) error) {
		caller.Complete(node.Settings.CallerAddress, lab.Completion{Model: "letters-70b", Prompt: fmt.Sprint(i), Tokens: 2000, OnEvent: each})
	})
	state := engine.State()
	base, baseMemory := streamRate(process.Process.Pid, min(streams, 480), func(i int, each func(int) error) {
		caller.CompleteAtEngine(proxy, state, lab.Completion{Prompt: fmt.Sprint(i), Tokens: 2000, OnEvent: each})
	})
	return []result{
		{"stream events a core", "1/s", base, ours, ">=200000", ours >= 200000},
		{"memory a 1000 open streams", "MB", baseMemory, memory, "-", true},
		{"memory without load", "MB", 0, idle, "<32", idle < 32},
	}, nil
}

// streamRate opens streams and returns events a second of processor time while all are open.
func streamRate(pid, streams int, open func(i int, each func(int) error)) (perCore, memory float64) {
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
	time.Sleep(costTime)
	perCore = float64(events.Load()-before) / (lab.UsageOf(pid).CPUSeconds - cpu)
	memory = lab.UsageOf(pid).MemoryMB
	stop.Store(true)
	for range streams {
		<-done
	}
	return perCore, memory
}
