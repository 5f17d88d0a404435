// Command slopes measures how a node's control costs grow with nodes, engine VMs, revisions and demand, at
// four sizes each, for docs/CAPACITY.md.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/settings"
)

const (
	settle = 6 * time.Second
	window = 8 * time.Second
)

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "moorrun-slopes-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary directory
	// Entry VMs are small; with more processors than that, idle ones spin and are charged for it.
	if err := os.Setenv("GOMAXPROCS", "2"); err != nil {
		return err
	}
	if err := lab.Build(".", dir); err != nil {
		return err
	}
	fmt.Println("At rest: percent of a core, KB/s read and written, MB resident, for each node; two processors a process")
	fmt.Printf("%6s %6s  %-8s %8s %8s %8s\n", "nodes", "VMs", "node", "core %", "KB/s", "MB")
	for _, nodes := range []int{2, 4, 8, 16, 31} {
		if err := atRest(dir, nodes, 16); err != nil {
			return err
		}
	}
	for _, vms := range []int{64, 128, 256, 400} {
		if err := atRest(dir, 4, vms); err != nil {
			return err
		}
	}
	fmt.Println("\nAccepted changes: processor milliseconds and KB for each, over all nodes")
	for _, nodes := range []int{2, 4, 8, 16} {
		if err := changes(dir, nodes); err != nil {
			return err
		}
	}
	fmt.Println("\nAllocator: microseconds a report, by nodes and groups, 5 workspaces each")
	for _, nodes := range []int{8, 32, 64, 111} {
		fmt.Printf("%6d nodes %6d groups %8.1f us\n", nodes, 4*nodes, report(nodes, 4*nodes))
	}
	return nil
}

// asShipped undoes the short terms that labs use.
func asShipped(s *settings.Settings) {
	s.HeartbeatMS, s.PollMS, s.EvidenceMS, s.LeaseTTLMS = 250, 500, 1900, 6000
	s.LogLevel = "error"
}

// fleet starts that many nodes in one data centre with that many VMs in domains of 16.
func fleet(dir string, nodes, vms int) (*lab.Lab, error) {
	home, err := os.MkdirTemp(dir, "lab-")
	if err != nil {
		return nil, err
	}
	if err := writeConfig(filepath.Join(home, "in"), vms); err != nil {
		return nil, err
	}
	l, err := lab.New(lab.Options{Dir: home, BinDir: dir, Config: filepath.Join(home, "in"), LoadsPerSecond: 1000, WeightLoadTime: 50 * time.Millisecond, TokenInterval: 10 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	for i := range nodes {
		if _, err := l.StartNode(fmt.Sprintf("entry-%02d", i), "dc", asShipped); err != nil {
			l.Close()
			return nil, err
		}
	}
	const limit = 60 * time.Second
	err = lab.WaitUntil(limit, "an accepted configuration", func() bool { return l.CLI("apply", l.ConfigDir, "--wait").Code == 0 })
	if err == nil {
		err = l.WaitForUsableGroups(vms/4, limit)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func writeConfig(dir string, vms int) error {
	const domainSize = 16
	dc := &config.DataCentre{Kind: config.KindDataCentre, Name: "dc", Region: "region"}
	for v := range vms {
		if v%domainSize == 0 {
			dc.Domains = append(dc.Domains, config.Domain{Name: fmt.Sprintf("d%d", v/domainSize)})
		}
		d := &dc.Domains[len(dc.Domains)-1]
		d.VMs = append(d.VMs, config.VM{Name: fmt.Sprintf("vm%d", v), Address: fmt.Sprintf("127.0.0.1:%d", 10000+v), Accelerators: 8, ChecksOrders: true})
	}
	pool := &config.Pool{Kind: config.KindPool, Operators: []config.Credential{{Name: "platform", TokenSHA256: config.HashToken(lab.OperatorToken)}}}
	parts := []config.Part{{File: "dc.json", DataCentre: dc}, {File: "pool.json", Pool: pool}}
	pool.Shares = append(pool.Shares, config.Share{Workspace: "w", Share: 1})
	w := &config.Workspace{Kind: config.KindWorkspace, Name: "w", Callers: []config.Credential{{Name: "c", TokenSHA256: config.HashToken("c")}}}
	w.Models = []config.Model{{Name: "m", Version: "1", VMsPerReplica: 4, PlacesPerReplica: 8, Replicas: config.Replicas{Min: vms / 4, Max: vms / 4}}}
	parts = append(parts, config.Part{File: "w.json", Workspace: w})
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, p := range parts {
		if err := os.WriteFile(filepath.Join(dir, p.File), p.Content(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// atRest prints what the busiest, the middle and the least busy node use without load.
func atRest(dir string, nodes, vms int) error {
	l, err := fleet(dir, nodes, vms)
	if err != nil {
		return err
	}
	defer l.Close()
	time.Sleep(settle)
	before := make(map[int]lab.Usage)
	for _, n := range l.Nodes() {
		before[n.PID()] = lab.UsageOf(n.PID())
	}
	time.Sleep(window)
	var busiest, sum lab.Usage
	for _, n := range l.Nodes() {
		u := lab.UsageOf(n.PID()).Since(before[n.PID()])
		sum.CPUSeconds, sum.IOBytes, sum.MemoryMB = sum.CPUSeconds+u.CPUSeconds, sum.IOBytes+u.IOBytes, sum.MemoryMB+u.MemoryMB
		if u.CPUSeconds > busiest.CPUSeconds {
			busiest = u
		}
	}
	k := float64(len(before))
	line(nodes, vms, "busiest", busiest)
	line(nodes, vms, "mean", lab.Usage{CPUSeconds: sum.CPUSeconds / k, IOBytes: sum.IOBytes / k, MemoryMB: sum.MemoryMB / k})
	return nil
}

func line(nodes, vms int, name string, u lab.Usage) {
	const kb = 1000
	fmt.Printf("%6d %6d  %-8s %8.2f %8.1f %8.1f\n", nodes, vms, name, 100*u.CPUSeconds/window.Seconds(), u.IOBytes/kb/window.Seconds(), u.MemoryMB)
}

// changes prints what one accepted change costs the nodes, beyond what they use at rest.
func changes(dir string, nodes int) error {
	l, err := fleet(dir, nodes, 16)
	if err != nil {
		return err
	}
	defer l.Close()
	time.Sleep(settle)
	total := func() (u lab.Usage) {
		for _, n := range l.Nodes() {
			one := lab.UsageOf(n.PID())
			u.CPUSeconds, u.IOBytes = u.CPUSeconds+one.CPUSeconds, u.IOBytes+one.IOBytes
		}
		return u
	}
	start := total()
	time.Sleep(window)
	rest := total().Since(start)
	const applies = 40
	began := time.Now()
	start = total()
	for i := range applies {
		if err := bump(l, i); err != nil {
			return err
		}
	}
	used := total().Since(start)
	took := time.Since(began).Seconds() / window.Seconds()
	fmt.Printf("%6d nodes %8.2f ms %8.1f KB\n", nodes, 1000*(used.CPUSeconds-took*rest.CPUSeconds)/applies, (used.IOBytes-took*rest.IOBytes)/1000/applies)
	return nil
}

func bump(l *lab.Lab, i int) error {
	file := filepath.Join(l.ConfigDir, "w.json")
	var w config.Workspace
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, &w); err != nil {
		return err
	}
	w.Objectives = []config.Objective{{Service: "m", Availability: 0.9, LatencyMS: i + 1}}
	if err := os.WriteFile(file, config.Part{Workspace: &w}.Content(), 0o600); err != nil {
		return err
	}
	if out := l.CLI("apply", file); out.Code != 0 {
		return fmt.Errorf("apply: %s%s", out.Stdout, out.Stderr)
	}
	return nil
}

// report returns the microseconds of one node's report to a model's allocator, with every place wanted.
func report(nodes, groups int) float64 {
	now := time.Unix(1000, 0)
	p := allocator.NewPool(now.Add(-time.Minute))
	var list []allocator.Group
	for g := range groups {
		list = append(list, allocator.Group{ID: fmt.Sprint("g", g), Birth: 1, Places: 8})
	}
	grants := make([]uint64, nodes)
	const workspaces, rounds = 5, 20
	ask := func(n int) {
		p.SetGroups(list)
		r := allocator.Report{VM: fmt.Sprint("n", n), Grant: grants[n]}
		for w := range workspaces {
			r.Workspaces = append(r.Workspaces, allocator.Demand{Workspace: fmt.Sprint("w", w), Waiting: 8, Spare: 1})
		}
		grants[n] = p.Report(r, func(string) int { return 1 }, nodes, now).Number
	}
	for n := range nodes {
		ask(n)
	}
	began := time.Now()
	for range rounds {
		for n := range nodes {
			ask(n)
		}
	}
	return float64(time.Since(began).Microseconds()) / float64(rounds*nodes)
}
