// Command bench measures moorrun's decisions and costs against baselines, each pair in the same run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// result is one row of the table.
type result struct {
	name     string
	unit     string
	baseline float64
	ours     float64
	aim      string
	reached  bool
}

// experiment is one comparison with one or more baselines; run returns its rows.
type experiment struct {
	name string
	run  func(*harness) ([]result, error)
}

var experiments = []experiment{
	{"cost", cost},
	{"shares", shares},
	{"overload", overload},
	{"slow", slowReplica},
	{"prefix", prefixes},
	{"retries", retries},
	{"once", atMostOnce},
	{"groups", groupLosses},
	{"roll", rollAndDrain},
	{"platform", platformCalls},
	{"limits", limits},
}

// harness holds the directory of the built programs and starts labs with them.
type harness struct {
	dir  string
	root string
}

func main() {
	only := flag.String("only", "", "names of the experiments to run, separated by commas; default: all")
	proxy := flag.String("proxy", "", "serve as the plain reverse proxy to this address, for the cost experiment")
	flag.Parse()
	if *proxy != "" {
		serveProxy(*proxy)
		return
	}
	if err := run(*only); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(only string) error {
	dir, err := os.MkdirTemp("", "moorrun-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir) //nolint:errcheck // temporary directory
	h := &harness{dir: dir, root: "."}
	if err := lab.Build(h.root, dir); err != nil {
		return err
	}
	fmt.Printf("%-44s %14s %14s %8s  %-10s %s\n", "measure", "baseline", "ours", "ratio", "aim", "reached")
	for _, e := range experiments {
		if only != "" && !slices.Contains(strings.Split(only, ","), e.name) {
			continue
		}
		rows, err := e.run(h)
		if err != nil {
			return fmt.Errorf("%s: %w", e.name, err)
		}
		for _, r := range rows {
			ratio := "-"
			if r.baseline != 0 {
				ratio = fmt.Sprintf("%.2f", r.ours/r.baseline)
			}
			fmt.Printf("%-44s %14.5g %14.5g %8s  %-10s %v\n", e.name+": "+r.name+" ("+r.unit+")", r.baseline, r.ours, ratio, r.aim, r.reached)
		}
	}
	return nil
}

// start starts a lab with the given number of nodes and waits until its configuration is accepted and its replica groups are usable.
func (h *harness) start(o lab.Options, nodes, groups int, tunes ...lab.SettingsOption) (*lab.Lab, []*lab.Node, error) {
	dir, err := os.MkdirTemp(h.dir, "lab-")
	if err != nil {
		return nil, nil, err
	}
	o.Dir, o.BinDir = dir, h.dir
	if o.Config == "" {
		o.Config = filepath.Join(h.root, "examples", "gjafabru")
	}
	o.WeightLoadTime, o.LoadsPerSecond = 100*time.Millisecond, 200
	l, err := lab.New(o)
	if err != nil {
		return nil, nil, err
	}
	var list []*lab.Node
	for i := range nodes {
		n, err := l.StartNode(fmt.Sprint("entry-", i+1), fmt.Sprint("rvk-", 1+i%2), tunes...)
		if err != nil {
			l.Close()
			return nil, nil, err
		}
		list = append(list, n)
	}
	err = lab.WaitUntil(20*time.Second, "an accepted configuration", func() bool { return l.CLI("apply", l.ConfigDir, "--wait").Code == 0 })
	if err == nil {
		err = l.WaitForUsableGroups(groups, 20*time.Second)
	}
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return l, list, nil
}
