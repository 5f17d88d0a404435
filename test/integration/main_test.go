// Package integration tests moorrund processes that run over stand-ins, and injects faults into both.
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

const waitTimeout = 30 * time.Second

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "moorrun-test-")
	if err == nil {
		err = lab.Build(filepath.Join("..", ".."), dir, raceFlags...)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a lab with three nodes in two data centres and the configuration of examples/gjafabru.
type fleet struct {
	*lab.Lab
	*qt.C
	nodes []*lab.Node
}

// newFleet starts a fleet, applies its configuration and waits until four replica groups are usable.
func newFleet(t *testing.T, overrides ...func(*lab.Options)) *fleet {
	f := newUnconfiguredFleet(t, overrides...)
	f.apply()
	f.Assert(f.WaitForUsableGroups(4, waitTimeout), qt.IsNil, qt.Commentf("%s", f.logTails()))
	return f
}

// newUnconfiguredFleet starts a fleet to which no configuration has been applied.
func newUnconfiguredFleet(t *testing.T, overrides ...func(*lab.Options)) *fleet {
	t.Parallel()
	c := qt.New(t)
	o := lab.Options{
		Dir: t.TempDir(), BinDir: binDir, Config: filepath.Join("..", "..", "examples", "gjafabru"),
		TokenInterval: 10 * time.Millisecond, Prefill: 10 * time.Millisecond, WeightLoadTime: 200 * time.Millisecond, LoadsPerSecond: 100,
	}
	for _, override := range overrides {
		override(&o)
	}
	l, err := lab.New(o)
	c.Assert(err, qt.IsNil)
	t.Cleanup(l.Close)
	f := &fleet{Lab: l, C: c}
	for _, entryVM := range [][2]string{{"entry-1", "rvk-1"}, {"entry-2", "rvk-1"}, {"entry-3", "rvk-2"}} {
		n, err := l.StartNode(entryVM[0], entryVM[1])
		c.Assert(err, qt.IsNil)
		f.nodes = append(f.nodes, n)
	}
	t.Cleanup(func() { f.checkLogs(t) })
	return f
}

func (f *fleet) apply() {
	err := lab.WaitUntil(waitTimeout, "an accepted configuration", func() bool { return f.CLI("apply", f.ConfigDir, "--wait").Code == 0 })
	f.Assert(err, qt.IsNil, qt.Commentf("%s", f.logTails()))
}

func (f *fleet) logTails() string {
	text := ""
	for _, n := range f.nodes {
		content, _ := os.ReadFile(n.LogFile)
		text += n.Settings.VM + ":\n" + string(content[max(0, len(content)-3000):]) + "\n"
	}
	return text
}

// checkLogs fails the test if the log of a process reports a breached invariant, a panic or a data race. If the
// test has already failed, it prints the complete logs.
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

func (f *fleet) callerAddress(i int) string { return f.nodes[i].Settings.CallerAddress }

// waitUntil fails the test unless ok returns true within waitTimeout.
func (f *fleet) waitUntil(condition string, ok func() bool) {
	f.Helper()
	f.Assert(lab.WaitUntil(waitTimeout, condition, ok), qt.IsNil, qt.Commentf("%s", f.logTails()))
}

// leaseHolder waits until a node holds the data centre's lease, and returns the index of that node.
func (f *fleet) leaseHolder(dataCentre string) int {
	found := -1
	f.waitUntil("a node holds the lease of "+dataCentre, func() bool {
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

// complete sends a completion request of workspace donors to a node and returns the reply.
func (f *fleet) complete(node int, prompt string, tokens int, onEvent func(int) error) lab.Reply {
	return lab.NewCaller("donors-caller-token").Complete(f.callerAddress(node), lab.Completion{Model: "letters-70b", Prompt: prompt, Tokens: tokens, OnEvent: onEvent})
}

// busyVM waits until an engine runs a request, and returns its VM.
func (f *fleet) busyVM() string {
	vm := ""
	f.waitUntil("an engine runs a request", func() bool {
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

// groupOf returns the ID and the members of the VM's replica group, and whether routers may use the group. The ID is
// empty if the VM is in no group or the status cannot be read.
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
