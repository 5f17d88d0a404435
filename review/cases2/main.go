// Command cases2 plays the cases of the second review that cannot be put as a day of the users' bench. It starts real processes of
// moorrund over small stand-ins for the store, the workers and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseRun is one run of a case.
type caseRun struct {
	*record
	store    *store
	program  string // moorrund
	dir      string // for settings and logs
	trouble  bool   // with the disruption
	machines []*machine
	closers  []func()
	ending   sync.Once
}

// cases are the cases by name. Each returns the breaches of the rule that it has seen.
var cases = map[string]func(c *caseRun) (breaches []string, err error){

	"drain": playDrain,
	"proof": playProof,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE MOORRUND RECORD")
		return exitFailed
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitFailed
	}
	keep := os.Getenv("KEEP") != ""
	if !keep {
		defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	}
	c := &caseRun{record: r, store: newStore(), program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer c.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		c.note("stopped by a signal")
		c.end()
		os.Exit(exitFailed)
	}()
	breaches, err := cases[os.Args[1]](c)
	if err != nil {
		c.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, b := range breaches {
		c.note("BROKEN %s", b)
		fmt.Println(b)
	}
	c.note("%d breaches", len(breaches))
	if keep {
		fmt.Println("logs in", dir)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}

// end ends everything that the run has started.
func (c *caseRun) end() {
	c.ending.Do(func() {
		for _, m := range c.machines {
			m.kill()
		}
		for _, f := range c.closers {
			f()
		}
		c.store.close()
	})
}

// addMachine starts a machine whose store address is a gate of its own.
func (c *caseRun) addMachine(name string, first bool, change map[string]any) (*machine, *gate, error) {
	g, err := c.store.openGate(newHost())
	if err != nil {
		return nil, nil, err
	}
	if g.link, err = startLink(newHost(), g.address); err != nil {
		return nil, nil, err
	}
	c.closers = append(c.closers, g.link.close)
	m, err := newMachine(c.program, c.dir, name, g.link.address(), first, change)
	if err != nil {
		return nil, nil, err
	}
	if err := m.start(); err != nil {
		return nil, nil, err
	}
	c.machines = append(c.machines, m)
	c.note("machine %s started, clients at %s, store at %s", name, m.front, g.link.address())
	return m, g, nil
}

// await polls until a condition holds.
func await(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("timed out waiting until %s", what)
		}
	}
	return nil
}
