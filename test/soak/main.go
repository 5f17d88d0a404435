// Command soak walks at random through faults, loads and applies over real processes, and checks what must
// always hold, from outside and by the processes' own invariants. A seed repeats the walk's decisions.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the walk")
	length := flag.Duration("for", time.Minute, "how long to walk")
	flag.Parse()
	violations, err := run(*seed, *length)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// walk is one run.
type walk struct {
	lab      *lab.Lab
	rand     *rand.Rand // of the fault line only
	mu       sync.Mutex
	nodes    []*lab.Node
	logs     map[string]bool
	tally    tally
	calls    calls
	history  history
	stopping chan struct{}
}

func run(seed uint64, length time.Duration) (int, error) {
	dir, err := os.MkdirTemp("", "moorrun-soak-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary directory
	if err := lab.Build(".", dir); err != nil {
		return 0, err
	}
	l, err := lab.New(lab.Options{
		Dir: dir, BinDir: dir, Config: filepath.Join("examples", "gjafabru"), TokenInterval: 10 * time.Millisecond,
		Prefill: 10 * time.Millisecond, WeightLoadTime: 300 * time.Millisecond, LoadsPerSecond: 50, VMListLag: 500 * time.Millisecond, FaultProxies: true,
	})
	if err != nil {
		return 0, err
	}
	defer l.Close()
	w := &walk{lab: l, rand: rand.New(rand.NewPCG(seed, seed)), logs: make(map[string]bool), stopping: make(chan struct{})} //nolint:gosec // repeatable on purpose
	if err := w.start(); err != nil {
		return 0, err
	}
	w.walk(length)
	if err := w.settle(); err != nil {
		w.tally.violate("%v", err)
	}
	w.checkRuns()
	w.checkHistory()
	checks := w.checkInvariants()
	fmt.Printf("soak: seed %d, %d faults, %d requests, %d checks, %d violations\n", seed, w.tally.faults, w.tally.requests, checks, len(w.tally.violations))
	return len(w.tally.violations), nil
}

func (w *walk) start() error {
	for i := range 4 {
		n, err := w.lab.StartNode(fmt.Sprint("entry-", i+1), fmt.Sprint("rvk-", 1+i%2))
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		w.logs[n.LogFile] = true
	}
	const limit = 30 * time.Second
	if err := lab.WaitUntil(limit, "an accepted configuration", func() bool { return w.lab.CLI("apply", w.lab.ConfigDir, "--wait").Code == 0 }); err != nil {
		return err
	}
	return w.lab.WaitForUsableGroups(4, limit)
}

// walk runs load, operators and faults side by side.
func (w *walk) walk(length time.Duration) {
	var all sync.WaitGroup
	for i := range 16 {
		all.Go(func() { w.stream(i) })
	}
	for i := range 8 {
		all.Go(func() { w.receipts(i) })
	}
	for i := range 2 {
		all.Go(func() { w.operate(i) })
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		w.fault()
	}
	close(w.stopping)
	all.Wait()
}

func (w *walk) stopped() bool {
	select {
	case <-w.stopping:
		return true
	default:
		return false
	}
}

func (w *walk) address(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i%len(w.nodes)].Settings.CallerAddress
}

// settle ends every fault and waits until all groups are in use again.
func (w *walk) settle() error {
	w.heal()
	err := w.lab.WaitForUsableGroups(4, time.Minute)
	if err == nil {
		return nil
	}
	s, statusErr := w.lab.Status()
	return fmt.Errorf("after all faults ended: %w\n%+v %w", err, s.Groups, statusErr)
}

// checkInvariants adds up the processes' own checks and reports their breaches, also of killed ones.
func (w *walk) checkInvariants() int64 {
	checks := int64(0)
	for _, n := range w.lab.Nodes() {
		out := w.lab.CLIAt(lab.OperatorToken, []string{n.Settings.AdminAddress}, "status", "-o", "json")
		var s struct {
			Checks   int64 `json:"invariant_checks"`
			Breaches int64 `json:"invariant_breaches"`
		}
		decode(out.Stdout, &s)
		checks += s.Checks
		if s.Breaches > 0 {
			w.tally.violate("%s has found %d breaches", n.Settings.VM, s.Breaches)
		}
	}
	for file := range w.logs {
		content, _ := os.ReadFile(file)
		for _, line := range strings.Split(string(content), "\n") {
			if strings.Contains(line, "invariant breached") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				w.tally.violate("%s: %s", filepath.Base(file), line)
			}
		}
	}
	return checks + w.tally.checks
}
