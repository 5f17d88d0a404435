// Command slopes measures how the cost of the control plane at a node grows with the number of nodes, engine VMs,
// accepted changes and allocator reports, at four or five sizes each, for docs/CAPACITY.md.
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
	settleTime  = 6 * time.Second
	measureTime = 8 * time.Second
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
	// Entry VMs have few cores. With a higher GOMAXPROCS, the spinning of idle processors would count as usage.
	if err := os.Setenv("GOMAXPROCS", "2"); err != nil {
		return err
	}
	if err := lab.Build(".", dir); err != nil {
		return err
	}
	fmt.Println("At rest: percent of a core, KB/s read and written, MB resident, for each node; two processors a process")
	fmt.Printf("%6s %6s  %-8s %8s %8s %8s\n", "nodes", "VMs", "node", "core %", "KB/s", "MB")
	for _, nodes := range []int{2, 4, 8, 16, 31} {
		if err := measureIdle(dir, nodes, 16); err != nil {
			return err
		}
	}
	for _, vms := range []int{64, 128, 256, 400} {
		if err := measureIdle(dir, 4, vms); err != nil {
			return err
		}
	}
	fmt.Println("\nAccepted changes: processor milliseconds and KB for each, over all nodes")
	for _, nodes := range []int{2, 4, 8, 16} {
		if err := measureChanges(dir, nodes); err != nil {
			return err
		}
	}
	fmt.Println("\nAllocator: microseconds a report, by nodes and groups, 5 workspaces each")
	for _, nodes := range []int{8, 32, 64, 111} {
		fmt.Printf("%6d nodes %6d groups %8.1f us\n", nodes, 4*nodes, measureReport(nodes, 4*nodes))
	}
	return nil
}

// setDefaultIntervals replaces the short intervals of labs by the default ones.
func setDefaultIntervals(s *settings.Settings) {
	s.HeartbeatMS, s.PollMS, s.EvidenceMS, s.LeaseTTLMS = 250, 500, 1900, 6000
	s.LogLevel = "error"
}

// startFleet starts a lab with the given numbers of nodes and engine VMs, in one data centre with fabric domains of
// 16 VMs, and waits until all its replica groups are usable.
func startFleet(dir string, nodes, vms int) (*lab.Lab, error) {
	labDir, err := os.MkdirTemp(dir, "lab-")
	if err != nil {
		return nil, err
	}
	if err := writeConfig(filepath.Join(labDir, "in"), vms); err != nil {
		return nil, err
	}
	l, err := lab.New(lab.Options{Dir: labDir, BinDir: dir, Config: filepath.Join(labDir, "in"), LoadsPerSecond: 1000, WeightLoadTime: 50 * time.Millisecond, TokenInterval: 10 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	for i := range nodes {
		if _, err := l.StartNode(fmt.Sprintf("entry-%02d", i), "dc", setDefaultIntervals); err != nil {
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

// measureIdle prints the usage without load of the busiest node and the mean over all nodes.
func measureIdle(dir string, nodes, vms int) error {
	l, err := startFleet(dir, nodes, vms)
	if err != nil {
		return err
	}
	defer l.Close()
	time.Sleep(settleTime)
	before := make(map[int]lab.Usage)
	for _, n := range l.Nodes() {
		before[n.PID()] = lab.UsageOf(n.PID())
	}
	time.Sleep(measureTime)
	var busiest, sum lab.Usage
	for _, n := range l.Nodes() {
		u := lab.UsageOf(n.PID()).Since(before[n.PID()])
		sum.CPUSeconds, sum.IOBytes, sum.MemoryMB = sum.CPUSeconds+u.CPUSeconds, sum.IOBytes+u.IOBytes, sum.MemoryMB+u.MemoryMB
		if u.CPUSeconds > busiest.CPUSeconds {
			busiest = u
		}
	}
	count := float64(len(before))
	printUsage(nodes, vms, "busiest", busiest)
	printUsage(nodes, vms, "mean", lab.Usage{CPUSeconds: sum.CPUSeconds / count, IOBytes: sum.IOBytes / count, MemoryMB: sum.MemoryMB / count})
	return nil
}

func printUsage(nodes, vms int, name string, u lab.Usage) {
	const kb = 1000
	fmt.Printf("%6d %6d  %-8s %8.2f %8.1f %8.1f\n", nodes, vms, name, 100*u.CPUSeconds/measureTime.Seconds(), u.IOBytes/kb/measureTime.Seconds(), u.MemoryMB)
}

// measureChanges prints the mean usage of all nodes together for one accepted change, beyond their idle usage.
func measureChanges(dir string, nodes int) error {
	l, err := startFleet(dir, nodes, 16)
	if err != nil {
		return err
	}
	defer l.Close()
	time.Sleep(settleTime)
	total := func() (u lab.Usage) {
		for _, n := range l.Nodes() {
			usage := lab.UsageOf(n.PID())
			u.CPUSeconds, u.IOBytes = u.CPUSeconds+usage.CPUSeconds, u.IOBytes+usage.IOBytes
		}
		return u
	}
	start := total()
	time.Sleep(measureTime)
	idle := total().Since(start)
	const applies = 40
	started := time.Now()
	start = total()
	for i := range applies {
		if err := applyChange(l, i); err != nil {
			return err
		}
	}
	used := total().Since(start)
	windows := time.Since(started).Seconds() / measureTime.Seconds()
	fmt.Printf("%6d nodes %8.2f ms %8.1f KB\n", nodes, 1000*(used.CPUSeconds-windows*idle.CPUSeconds)/applies, (used.IOBytes-windows*idle.IOBytes)/1000/applies)
	return nil
}

// applyChange applies the i-th change of the latency objective.
func applyChange(l *lab.Lab, i int) error {
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

// measureReport returns the mean time in microseconds in which a model's allocator processes one node's report. The
// demand exceeds the number of places, so all places are wanted.
func measureReport(nodes, groups int) float64 {
	now := time.Unix(1000, 0)
	p := allocator.NewPool(now.Add(-time.Minute))
	var list []allocator.Group
	for g := range groups {
		list = append(list, allocator.Group{ID: fmt.Sprint("g", g), Birth: 1, Places: 8})
	}
	grants := make([]uint64, nodes)
	const workspaces, rounds = 5, 20
	sendReport := func(n int) {
		p.SetGroups(list)
		r := allocator.Report{VM: fmt.Sprint("n", n), Grant: grants[n]}
		for w := range workspaces {
			r.Workspaces = append(r.Workspaces, allocator.Demand{Workspace: fmt.Sprint("w", w), Waiting: 8, Spare: 1})
		}
		grants[n] = p.Report(r, func(string) int { return 1 }, nodes, now).Number
	}
	for n := range nodes {
		sendReport(n)
	}
	started := time.Now()
	for range rounds {
		for n := range nodes {
			sendReport(n)
		}
	}
	return float64(time.Since(started).Microseconds()) / float64(rounds*nodes)
}
