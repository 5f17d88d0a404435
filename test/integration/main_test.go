// Package integration runs real moorrund processes over stand-ins and breaks them.
package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

const patience = 30 * time.Second

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "moorrun-test-")
	if err == nil {
		err = lab.Build(filepath.Join("..", ".."), dir, raceFlags...)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bin = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a lab with three nodes in two data centres and Gjafabrú's example in force.
type fleet struct {
	*lab.Lab
	*qt.C
	nodes []*lab.Node
}

// newFleet starts a fleet and waits until its four replica groups may be used.
func newFleet(t *testing.T, tunes ...func(*lab.Options)) *fleet {
	f := newBareFleet(t, tunes...)
	f.apply()
	f.Assert(f.WaitForUsableGroups(4, patience), qt.IsNil, qt.Commentf("%s", f.logs()))
	return f
}

// newBareFleet starts a fleet without configuration.
func newBareFleet(t *testing.T, tunes ...func(*lab.Options)) *fleet {
	t.Parallel()
	c := qt.New(t)
	o := lab.Options{
		Dir: t.TempDir(), BinDir: bin, Config: filepath.Join("..", "..", "examples", "gjafabru"),
		TokenInterval: 10 * time.Millisecond, Prefill: 10 * time.Millisecond, WeightLoadTime: 200 * time.Millisecond, LoadsPerSecond: 100,
	}
	for _, tune := range tunes {
		tune(&o)
	}
	l, err := lab.New(o)
	c.Assert(err, qt.IsNil)
	t.Cleanup(l.Close)
	f := &fleet{Lab: l, C: c}
	for _, place := range [][2]string{{"entry-1", "rvk-1"}, {"entry-2", "rvk-1"}, {"entry-3", "rvk-2"}} {
		n, err := l.StartNode(place[0], place[1])
		c.Assert(err, qt.IsNil)
		f.nodes = append(f.nodes, n)
	}
	t.Cleanup(func() { f.checkLogs(t) })
	return f
}

func (f *fleet) apply() {
	err := lab.WaitUntil(patience, "an accepted configuration", func() bool { return f.CLI("apply", f.ConfigDir, "--wait").Code == 0 })
	f.Assert(err, qt.IsNil, qt.Commentf("%s", f.logs()))
}

func (f *fleet) logs() string {
	text := ""
	for _, n := range f.nodes {
		content, _ := os.ReadFile(n.LogFile)
		text += n.Settings.VM + ":\n" + string(content[max(0, len(content)-3000):]) + "\n"
	}
	return text
}

// checkLogs fails the test when a process has found one of its own invariants breached, or has crashed. The logs of a test that has
// failed are shown whole.
func (f *fleet) checkLogs(t *testing.T) {
	for _, n := range f.nodes {
		content, _ := os.ReadFile(n.LogFile)
		if t.Failed() {
			t.Logf("%s:\n%s", n.Settings.VM, content)
		}
		for _, line := range strings.Split(string(content), "\n") {
			if strings.Contains(line, "invariant breached") || strings.Contains(line, "panic:") || strings.Contains(line, "DATA RACE") {
				t.Errorf("%s: %s", n.Settings.VM, line)
			}
		}
	}
}

func (f *fleet) address(i int) string { return f.nodes[i].Settings.CallerAddress }

// until fails the test unless ok becomes true in time.
func (f *fleet) until(what string, ok func() bool) {
	f.Helper()
	f.Assert(lab.WaitUntil(patience, what, ok), qt.IsNil, qt.Commentf("%s", f.logs()))
}

// holder returns the index of the node that holds a data centre's lease.
func (f *fleet) holder(dataCentre string) int {
	found := -1
	f.until("a lease holder in "+dataCentre, func() bool {
		o, ok := f.Objects.Object("moorrun/leases/" + dataCentre)
		for i, n := range f.nodes {
			if ok && strings.Contains(string(o.Value), `"holder":"`+n.Settings.VM+`"`) {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// letter asks for a completion of donors' model at a node.
func (f *fleet) letter(node int, prompt string, tokens int, onEvent func(int) error) lab.Reply {
	return lab.NewCaller("donors-caller-token").Complete(f.address(node), lab.Completion{Model: "letters-70b", Prompt: prompt, Tokens: tokens, OnEvent: onEvent})
}

// busyLeader returns the VM that runs a request now.
func (f *fleet) busyLeader() string {
	vm := ""
	f.until("a running request", func() bool {
		for name, e := range f.Engines {
			if e.State().Running > 0 {
				vm = name
				return true
			}
		}
		return false
	})
	return vm
}

// usable reports whether routers may use the group with that VM, and names it.
func (f *fleet) groupOf(vm string) (id string, usable bool, members []string) {
	s, err := f.Status()
	if err != nil {
		return "", false, nil
	}
	for _, g := range s.Groups {
		for _, member := range g.VMs {
			if member == vm {
				return g.ID, g.Usable, g.VMs
			}
		}
	}
	return "", false, nil
}
