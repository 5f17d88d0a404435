package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// stopSoakTime is how long faults are injected.
	stopSoakTime = 20 * time.Second
	stopCallers  = 16
	// addressLifetime is how long callers may hold the addresses that they have asked for; some hold them three times as long.
	addressLifetime = time.Second
	// nearStop is the time before a SIGTERM from which requests count as near it.
	nearStop = time.Second
)

// stoppingLine is a part of the line that a node logs when it notices SIGTERM.
const stoppingLine = `"msg":"stopping"`

// stopSoakGraces are the grace periods of soaks of stops, one for each seed in turn.
var stopSoakGraces = []time.Duration{2500 * time.Millisecond, time.Second, 8 * time.Second, 0}

// nodeStop is a SIGTERM or SIGKILL of a node.
type nodeStop struct {
	signalled, killed, exited time.Time // zero for what has not happened
	// told is when the node is known to have noticed the signal; zero while it is not.
	told time.Time
}

// stopSoak is a random walk of stops of one, two or all nodes, beside reloads, changes of the configuration, pauses of nodes and silences of
// engines. Callers hold addresses for up to their lifetime, and some longer; half of them keep their connections.
type stopSoak struct {
	*fleet
	random  *rand.Rand // of the faults
	grace   time.Duration
	silent  bool // engines are silent now and then
	ended   atomic.Bool
	version int

	requests atomic.Int64

	mu         sync.Mutex
	stops      map[string][]*nodeStop // by caller address
	outcomes   map[string]int
	violations []string
	near, far  firstTries
}

// firstTries counts requests and those that were answered at the first try.
type firstTries struct {
	sent, answered int
	took           []time.Duration // of those that were answered
}

// Guards against requests that the stop of a node cuts off, loses, runs twice or refuses without truth, at any moment of it, with any grace
// period, while engines are silent. MOORRUN_SOAK_SEEDS names other seeds, separated by commas.
func TestSoakOfStops(t *testing.T) {
	for _, seed := range soakSeeds(t, 1, 2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); runStopSoak(t, seed, true) })
	}
}

// Guards against the same while nothing else is wrong, and logs what stops cost callers.
func TestSoakOfStopsOfACalmFleet(t *testing.T) {
	for _, seed := range soakSeeds(t, 1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); runStopSoak(t, seed, false) })
	}
}

func runStopSoak(t *testing.T, seed uint64, silent bool) {
	grace := stopSoakGraces[(seed-1)%uint64(len(stopSoakGraces))]
	s := &stopSoak{
		fleet: newStoppingFleet(t, grace), random: rand.New(rand.NewPCG(seed, 2)), grace: grace, silent: silent, version: 2, //nolint:gosec // a seeded test
		stops: make(map[string][]*nodeStop), outcomes: make(map[string]int),
	}
	var callers sync.WaitGroup
	for i := range stopCallers {
		callers.Go(func() { s.newCaller(seed, i).run() })
	}
	time.Sleep(nearStop)
	for end := time.Now().Add(stopSoakTime); time.Now().Before(end); {
		s.injectStops()
	}
	s.ended.Store(true)
	callers.Wait()
	t.Logf("seed %d, grace %v: %v; first tries near a stop %v, otherwise %v", seed, grace, s.outcomes, &s.near, &s.far)
	for _, v := range s.violations {
		t.Error(v)
	}
	qt.Check(t, s.outcomes["whole"] > 0, qt.IsTrue)
}

func (f *firstTries) String() string {
	if len(f.took) == 0 {
		return fmt.Sprintf("%d of %d", f.answered, f.sent)
	}
	slices.Sort(f.took)
	return fmt.Sprintf("%d of %d (%.4f), p50 %v, p99 %v", f.answered, f.sent, float64(f.answered)/float64(f.sent),
		f.took[len(f.took)/2].Round(time.Millisecond), f.took[len(f.took)*99/100].Round(time.Millisecond))
}

// injectStops stops one, two or all nodes at once or in series, beside other faults, and starts them again.
func (s *stopSoak) injectStops() {
	var stopping sync.WaitGroup
	count := []int{1, 1, 1, 2, 2, 3}[s.random.IntN(6)]
	apart := time.Duration(s.random.IntN(2)) * s.grace / 3
	for _, i := range s.random.Perm(len(s.nodes))[:count] {
		kind := s.random.IntN(6)
		stopping.Go(func() { s.stopNode(s.nodes[i], kind) })
		s.disturb()
		time.Sleep(apart)
	}
	stopping.Wait()
	time.Sleep(time.Duration(s.random.IntN(1000)) * time.Millisecond)
}

// disturb silences engines, changes the configuration or reloads a node, or does nothing.
func (s *stopSoak) disturb() {
	if s.silent && s.random.IntN(3) > 0 {
		s.silence()
	}
	switch s.random.IntN(3) {
	case 0:
		s.version++
		s.platform.Configure(s.version, int(stopTimeout.Milliseconds()), "key-1", fmt.Sprint("key-", s.version))
	case 1:
		s.nodes[s.random.IntN(len(s.nodes))].signal(syscall.SIGHUP)
	}
}

// silence silences all engines and plain endpoints for up to the grace period, or some for less: groups that are silent for longer while
// others answer are ended.
func (s *stopSoak) silence() {
	workers := s.platform.Workers()
	count, longest := len(workers), max(s.grace, time.Second)
	if s.random.IntN(2) == 0 {
		count, longest = []int{1, len(workers) - 1}[s.random.IntN(2)], time.Second
	}
	d := time.Duration(s.random.Int64N(int64(longest)))
	for _, i := range s.random.Perm(len(workers))[:count] {
		workers[i].Freeze(d)
	}
}

// stopNode stops a node with SIGTERM, which other signals may follow, and starts it again.
func (s *stopSoak) stopNode(n *node, kind int) {
	stop := &nodeStop{signalled: time.Now()}
	s.mu.Lock()
	s.stops[n.settings.CallerAddress] = append(s.stops[n.settings.CallerAddress], stop)
	s.mu.Unlock()
	before := n.countLogged(stoppingLine)
	n.signal(syscall.SIGTERM)
	s.await("the node stops", func() bool { return n.countLogged(stoppingLine) > before })
	s.mu.Lock()
	stop.told = time.Now()
	s.mu.Unlock()
	time.Sleep(s.grace / 10)
	switch kind {
	case 0:
		n.signal(syscall.SIGHUP)
		n.signal(syscall.SIGTERM)
	case 1:
		n.signal(syscall.SIGSTOP)
		time.Sleep(s.grace / 3)
		n.signal(syscall.SIGCONT)
	case 2:
		time.Sleep(s.grace / 5)
		s.mu.Lock()
		stop.killed = time.Now()
		s.mu.Unlock()
		n.signal(syscall.SIGKILL)
	}
	err := <-n.exited
	s.mu.Lock()
	stop.exited = time.Now()
	if err != nil && stop.killed.IsZero() {
		s.violations = append(s.violations, fmt.Sprintf("%s exited with %v", n.settings.VM, err))
	}
	s.mu.Unlock()
	s.start(n)
	s.awaitReady(n)
}
