// Command soak runs a random walk of faults against moorrund processes under load and configuration changes. It
// checks the invariants of the system from outside and collects the results of the processes' own checks. The same
// seed repeats the choice of faults, but not their timing relative to the requests.
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
	"moorrun.dev/moorrun/internal/standin/paths"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the walk")
	duration := flag.Duration("for", time.Minute, "how long to walk")
	flag.Parse()
	violations, err := run(*seed, *duration)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// workload is one run: the lab under test, its load and faults, and the results.
type workload struct {
	lab        *lab.Lab
	faultRand  *rand.Rand // used only to choose faults
	mu         sync.Mutex
	nodes      []*lab.Node
	logFiles   map[string]bool
	processes  int // started so far
	results    results
	keyedCalls keyedCalls
	history    history
	stopping   chan struct{}
	paths      *paths.Paths
	// cuttable is a node in this process, the only one whose paths to engines and endpoints can be cut.
	cuttable *lab.InProcessNode
}

func run(seed uint64, duration time.Duration) (int, error) {
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
	w := &workload{lab: l, faultRand: rand.New(rand.NewPCG(seed, seed)), logFiles: make(map[string]bool), stopping: make(chan struct{}), paths: paths.New()} //nolint:gosec // repeatable on purpose
	defer w.paths.Close()
	if err := w.start(); err != nil {
		return 0, err
	}
	defer w.cuttable.Stop() //nolint:errcheck // the run is over
	w.runAll(duration)
	if err := w.waitForRecovery(); err != nil {
		w.results.addViolation("%v", err)
	}
	w.checkRunCounts()
	w.checkDeadlyRuns()
	w.checkRetries()
	w.checkLinearizability()
	checks := w.checkInvariants()
	fmt.Printf("soak: seed %d, %d faults, %d requests, %d checks, %d violations\n", seed, w.results.faults, w.results.requests, checks, len(w.results.violations))
	return len(w.results.violations), nil
}

func (w *workload) start() error {
	for i := range 4 {
		n, err := w.lab.StartNode(fmt.Sprint("entry-", i+1), fmt.Sprint("rvk-", 1+i%2))
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		w.logFiles[n.LogFile] = true
		w.processes++
	}
	n, err := w.lab.StartInProcess("entry-5", "rvk-1", w.paths)
	if err != nil {
		return err
	}
	w.cuttable = n
	w.logFiles[n.LogFile] = true
	w.processes++
	const limit = 30 * time.Second
	if err := lab.WaitUntil(limit, "an accepted configuration", func() bool { return w.lab.CLI("apply", w.lab.ConfigDir, "--wait").Code == 0 }); err != nil {
		return err
	}
	return w.lab.WaitForUsableGroups(4, limit)
}

// runAll runs callers and operators concurrently and injects faults one after the other meanwhile.
func (w *workload) runAll(duration time.Duration) {
	var tasks sync.WaitGroup
	for i := range 16 {
		tasks.Go(func() { w.requestCompletions(i) })
	}
	for i := range 8 {
		tasks.Go(func() { w.requestReceipts(i) })
	}
	for i := range 2 {
		tasks.Go(func() { w.applyChanges(i) })
	}
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		w.injectFault()
	}
	close(w.stopping)
	tasks.Wait()
}

func (w *workload) stopped() bool {
	select {
	case <-w.stopping:
		return true
	default:
		return false
	}
}

func (w *workload) callerAddress(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i %= len(w.nodes) + 1; i < len(w.nodes) {
		return w.nodes[i].Settings.CallerAddress
	}
	return w.cuttable.Settings.CallerAddress
}

// waitForRecovery ends all faults and waits until four replica groups are usable again.
func (w *workload) waitForRecovery() error {
	w.clearFaults()
	err := w.lab.WaitForUsableGroups(4, time.Minute)
	if err == nil {
		return nil
	}
	s, statusErr := w.lab.Status()
	return fmt.Errorf("after all faults ended: %w\n%+v %w", err, s.Groups, statusErr)
}

// checkInvariants returns the number of checks made by soak and by the running processes. It records a violation for
// each process that reports breaches, and for each breach or crash in a log, which includes killed processes.
func (w *workload) checkInvariants() int64 {
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
			w.results.addViolation("%s reports %d invariant breaches", n.Settings.VM, s.Breaches)
		}
	}
	for file := range w.logFiles {
		content, _ := os.ReadFile(file)
		for _, line := range strings.Split(string(content), "\n") {
			if strings.Contains(line, "invariant breached") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				w.results.addViolation("%s: %s", filepath.Base(file), line)
			}
		}
	}
	return checks + w.results.checks
}
