package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/standin/arrivals"
)

// simulation is a fleet whose processes share the limits on one service. Processes take every retry that they are allowed.
type simulation struct {
	limits    retry.Limits
	now       time.Time
	processes []*simulatedProcess // one for each VM
	record    arrivals.Record
}

type simulatedProcess struct {
	*retry.Budget
	nodes retry.Nodes // what it believes about the fleet
}

// newSimulation returns a fleet whose processes have run for longer than a window and know the fleet.
func newSimulation(l retry.Limits, vms int) *simulation {
	s := &simulation{limits: l, now: origin}
	for range vms {
		s.processes = append(s.processes, s.newProcess(retry.Nodes{All: vms, Busy: vms}))
	}
	s.pass(3 * l.Window)
	return s
}

func (s *simulation) newProcess(n retry.Nodes) *simulatedProcess {
	p := &simulatedProcess{nodes: n}
	p.Budget = retry.NewBudget(s.limits, func() retry.Nodes { return p.nodes }, s.now)
	return p
}

// restart replaces the process of a VM by a new one that believes n.
func (s *simulation) restart(vm int, n retry.Nodes) { s.processes[vm] = s.newProcess(n) }

func (s *simulation) restartAll(n retry.Nodes) {
	for vm := range s.processes {
		s.restart(vm, n)
	}
}

// believeAll makes every process believe n.
func (s *simulation) believeAll(n retry.Nodes) {
	for _, p := range s.processes {
		p.nodes = n
	}
}

func (s *simulation) pass(d time.Duration) { s.now = s.now.Add(d) }

// request sends requests to the process of a VM. Each of them is retried as often as that process allows, maxRetries times at
// most.
func (s *simulation) request(vm, requests, maxRetries int) {
	p := s.processes[vm]
	for range requests {
		p.Request(s.now)
		s.record.AddRequest(s.now)
	}
	for range requests * maxRetries {
		if !take(p.Budget, s.now) {
			return
		}
		s.record.AddRetry(s.now)
	}
}

// load sends perSecond requests a second to all processes in turn for the given time.
func (s *simulation) load(perSecond, maxRetries int, d time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for i := range int(d / interval) {
		s.pass(interval)
		s.request(i%len(s.processes), 1, maxRetries)
	}
}

func (s *simulation) check(t *testing.T) {
	t.Helper()
	w := s.record.WorstWindow(s.limits)
	qt.Check(t, w.Exceeds(), qt.IsFalse, qt.Commentf("%d retries in a window, allowed %.0f", w.Retries, w.Allowed))
}

// fleetLimits and fleetLoad are those of seven nodes with 150 requests a second.
var fleetLimits = retry.Limits{Ratio: 0.2, Slack: 132, Window: 10 * time.Second}

const (
	fleetNodes  = 7
	fleetLoad   = 150
	fleetResend = 3 // retries of a request that is refused everywhere
)

// Guards against new processes that retry as much as those before them on the same VMs did within the same window.
func TestProcessesThatStartAgainStayWithinLimits(t *testing.T) {
	for _, c := range []struct {
		name     string
		starts   int
		interval time.Duration
	}{
		{"once", 1, 0}, {"twice", 2, 4 * time.Second}, {"three times", 3, 3 * time.Second}, {"ten times", 10, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(fleetLimits, fleetNodes)
			s.load(fleetLoad, 0, fleetLimits.Window)
			s.load(fleetLoad, fleetResend, time.Second) // endpoints begin to fail
			for range c.starts {
				s.restartAll(retry.Nodes{All: fleetNodes, Busy: fleetNodes})
				s.load(fleetLoad, fleetResend, c.interval)
			}
			s.load(fleetLoad, fleetResend, fleetLimits.Window)
			s.check(t)
		})
	}
}

// Guards against retries that are no longer counted although they are less than a window ago.
func TestBurstsLessThanAWindowApartStayWithinLimits(t *testing.T) {
	for apart := 9 * time.Second; apart < 10*time.Second; apart += 100 * time.Millisecond {
		for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
			s := newSimulation(fleetLimits, 1)
			s.pass(offset)
			s.request(0, 10, 50)
			s.pass(apart)
			s.request(0, 10, 50)
			s.check(t)
		}
	}
}

// Guards against callers whose move to other nodes allows retries there for requests that the nodes before have spent theirs on.
func TestCallersThatMoveToOtherNodesStayWithinLimits(t *testing.T) {
	s := newSimulation(retry.Limits{Ratio: 0.2, Window: 10 * time.Second}, 2)
	for vm := range s.processes {
		for range 99 {
			s.pass(100 * time.Millisecond)
			s.request(vm, 5, 0)
		}
		s.request(vm, 5, 100)
	}
	s.check(t)
}

// Guards against retries beyond the limits by processes that start, are killed, are cut off, receive bursts of requests and
// have wrong counts of the fleet's nodes, down to two thirds of the right ones.
func TestFleetStaysWithinLimitsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retry.Limits{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 300).Draw(t, "slack")), Window: 10 * time.Second}
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		s := newSimulation(limits, vms)
		belief := func() retry.Nodes {
			if rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
				return retry.Nodes{}
			}
			return retry.Nodes{
				All:  rapid.IntRange((2*vms+2)/3, 2*vms).Draw(t, "all"),
				Busy: rapid.IntRange((2*vms+2)/3, 2*vms).Draw(t, "busy"),
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.pass(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				s.restart(vm, belief())
			case 1:
				s.restartAll(belief())
			case 2:
				s.believeAll(belief())
			case 3:
				s.request(vm, rapid.IntRange(1, 200).Draw(t, "burst"), 0)
			default:
				for vm := range s.processes {
					s.request(vm, rapid.IntRange(0, 20).Draw(t, "requests"), rapid.IntRange(0, 30).Draw(t, "retries"))
				}
			}
		}
		if w := s.record.WorstWindow(limits); w.Exceeds() {
			t.Fatalf("%d retries in a window, allowed %.1f", w.Retries, w.Allowed)
		}
	})
}
