package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/quarantine"
)

const (
	simulationStep = 10 * time.Millisecond
	// prefill is the time from the arrival of a request at an endpoint to its first event.
	prefill = 150 * time.Millisecond
	// findCauseTime is the time from the end of an endpoint to the record of its ending.
	findCauseTime = 60 * time.Millisecond
	// downTime is the time from the end of an endpoint until its group serves again.
	downTime = 4 * time.Second
	// beatInterval is the time between two exchanges of each node with all others.
	beatInterval = 100 * time.Millisecond
	// contactTime is the time after the fifth ending from which hardly any further request may reach endpoints.
	contactTime = 3 * time.Second
	// lateSends is the number of requests with a deadly part that may reach endpoints after that.
	lateSends = 3
)

// prompt is the content of a simulated request.
type prompt struct {
	parts     []string
	model     int
	workspace string
	deadly    bool
}

// simulatedRequest is a request at an endpoint that has not begun to answer it.
type simulatedRequest struct {
	quarantine.Signature
	prompt
	node    int
	beginAt time.Time
	resent  bool
	trial   []quarantine.Fingerprint
}

// simulation is a fleet of nodes with tables in front of endpoints that a request with a deadly part ends.
type simulation struct {
	random    *rand.Rand
	tables    []*quarantine.Table
	received  [][]uint64
	waiting   [][]*simulatedRequest // by endpoint
	downUntil []time.Time
	instance  uint32
	sent      int                             // requests so far
	onSecond  func(s *simulation, second int) // further trouble; may be nil

	endings    []time.Time
	late       int // requests with a deadly part sent later than contactTime after the fifth ending
	soundHeld  int
	soundBegun int
}

func newSimulation(seed uint64, nodes, endpoints int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), waiting: make([][]*simulatedRequest, endpoints), downUntil: make([]time.Time, endpoints)} //nolint:gosec // a test
	for i := range nodes {
		t := quarantine.NewTable()
		t.MayTry = func(quarantine.Fingerprint) bool { return i == 0 }
		s.tables = append(s.tables, t)
		s.received = append(s.received, make([]uint64, nodes))
	}
	return s
}

// arrive sends a request from a random node to a random endpoint of its model that is up, unless it is held back.
func (s *simulation) arrive(p prompt) {
	s.sent++
	c := quarantine.Content{Workspace: p.workspace, Body: []byte(fmt.Sprint(s.sent))}
	s.send(&simulatedRequest{Signature: quarantine.NewSignature(&c, fmt.Sprint("m", p.model), p.parts), prompt: p, node: s.random.IntN(len(s.tables))})
}

func (s *simulation) send(r *simulatedRequest) {
	now := time.Now()
	hold, trial := s.tables[r.node].Check(&r.Signature, nil, now)
	r.trial = trial
	if hold != nil {
		if !r.deadly {
			s.soundHeld++
		}
		return
	}
	for range 4 * len(s.waiting) {
		if i := s.random.IntN(len(s.waiting)); now.After(s.downUntil[i]) && i%2 == r.model%2 {
			r.beginAt = now.Add(prefill)
			s.waiting[i] = append(s.waiting[i], r)
			if len(s.endings) >= 5 && now.Sub(s.endings[4]) > contactTime && r.deadly {
				s.late++
			}
			return
		}
	}
}

// step begins the answers that are due, which may end endpoints.
func (s *simulation) step() {
	now := time.Now()
	for i, waiting := range s.waiting {
		var left []*simulatedRequest
		for at, r := range waiting {
			switch {
			case now.Before(r.beginAt):
				left = append(left, r)
			case s.tables[r.node].MustStop(&r.Signature, r.trial, now):
				if !r.deadly {
					s.soundHeld++
				}
			case r.deadly:
				s.end(i, append(left, waiting[at:]...))
				left = nil
			default:
				s.soundBegun++
				s.tables[r.node].Begun(r.Parts, now)
			}
			if !now.After(s.downUntil[i]) {
				break
			}
		}
		s.waiting[i] = left
	}
}

// end ends an endpoint with the requests that it had not begun to answer; sound ones are sent on once.
func (s *simulation) end(endpoint int, requests []*simulatedRequest) {
	now := time.Now()
	s.instance++
	s.endings = append(s.endings, now)
	s.downUntil[endpoint] = now.Add(downTime)
	ending := quarantine.Ending{InstanceHash: s.instance, Domain: uint32(endpoint % 6), At: now}
	time.AfterFunc(findCauseTime, func() {
		for _, r := range requests {
			s.tables[r.node].Ended(ending, []quarantine.Fingerprint{r.Request}, time.Now())
			s.tables[r.node].PartsEnded(ending, r.Parts, time.Now())
		}
	})
	for _, r := range requests {
		if !r.resent {
			again := *r
			again.resent = true
			s.send(&again)
		}
	}
}

// exchange passes the changes of each table on to all others.
func (s *simulation) exchange() {
	now := time.Now()
	for from, a := range s.tables {
		for to, b := range s.tables {
			if from == to {
				continue
			}
			records, reached := a.Since(s.received[to][from], func(source quarantine.Source) bool { return source.VM == "" }, 100)
			s.received[to][from] = reached
			if a.Digest() != b.Digest() {
				records = append(records, a.Suspected(100)...)
			}
			b.Merge(records, quarantine.Source{VM: fmt.Sprint(from), Relay: true}, now)
		}
	}
}

// restart replaces a node's table by an empty one.
func (s *simulation) restart(node int) {
	t := quarantine.NewTable()
	t.MayTry = s.tables[node].MayTry
	s.tables[node] = t
	s.received[node] = make([]uint64, len(s.tables))
	for _, received := range s.received {
		received[node] = 0
	}
}

// loseDomain takes the endpoints of one of the six domains away for a while; their sound requests are sent on.
func (s *simulation) loseDomain(domain int) {
	for i, waiting := range s.waiting {
		if i%6 != domain {
			continue
		}
		s.downUntil[i] = time.Now().Add(downTime)
		s.waiting[i] = nil
		for _, r := range waiting {
			if !r.resent {
				r.resent = true
				s.send(r)
			}
		}
	}
}

// crash ends a third of the endpoints at the same moment for another reason than their requests.
func (s *simulation) crash() {
	for i, waiting := range s.waiting {
		if s.random.IntN(3) == 0 && time.Now().After(s.downUntil[i]) {
			s.waiting[i] = nil
			s.end(i, waiting)
		}
	}
}

// run plays the simulation; arrivals returns the prompts that arrive in one step.
func (s *simulation) run(d time.Duration, arrivals func(random *rand.Rand) []prompt) {
	for at := time.Duration(0); at < d; at += simulationStep {
		for _, p := range arrivals(s.random) {
			s.arrive(p)
		}
		s.step()
		if at%beatInterval == 0 {
			s.exchange()
		}
		if s.onSecond != nil && at%time.Second == 0 {
			s.onSecond(s, int(at/time.Second))
		}
		time.Sleep(simulationStep)
	}
	synctest.Wait()
}

// scenario describes the traffic of a simulation.
type scenario struct {
	deadlyPerSecond float64
	soundPerSecond  float64
	parts           int // number of deadly parts
	place           int // of the deadly part in its prompt
	seconds         int
	topics          int // number of sound parts below the first
	models          int
	workspaces      int
	soundSeconds    int // for how long the deadly parts are sound at first
	trouble         func(s *simulation, second int)
}

// arrivals returns the prompts of one step: all begin with a common part, the last one is unique.
func (c *scenario) arrivals(number *int) func(*rand.Rand) []prompt {
	start := time.Now()
	return func(random *rand.Rand) []prompt {
		var out []prompt
		add := func(deadly bool) {
			*number++
			parts := []string{"common", fmt.Sprint("topic-", random.IntN(c.topics)), fmt.Sprint("own-", *number)}
			if deadly {
				part := fmt.Sprint("deadly-", random.IntN(c.parts))
				parts = append(parts[:c.place:c.place], append([]string{part}, parts[c.place:]...)...)
			}
			out = append(out, prompt{parts: parts, model: random.IntN(c.models), workspace: fmt.Sprint("w", random.IntN(c.workspaces)), deadly: deadly && time.Since(start) >= time.Duration(c.soundSeconds)*time.Second})
		}
		if random.Float64() < c.deadlyPerSecond*simulationStep.Seconds() {
			add(true)
		}
		for rate := c.soundPerSecond * simulationStep.Seconds(); rate > 0; rate-- {
			if random.Float64() < rate {
				add(false)
			}
		}
		return out
	}
}

// Guards against requests with a deadly part that still reach endpoints well after five have ended under it, and against sound
// requests that share its other parts, callers and models being held back beside it.
func TestDeadlyPartIsHeldBackAndSoundRequestsAreNot(t *testing.T) {
	common := scenario{deadlyPerSecond: 5, soundPerSecond: 100, parts: 1, place: 2, seconds: 40, topics: 20, models: 2, workspaces: 3}
	variant := func(change func(c *scenario)) scenario { c := common; change(&c); return c }
	for name, c := range map[string]scenario{
		"five a second":           common,
		"fifty a second":          variant(func(c *scenario) { c.deadlyPerSecond = 50 }),
		"one in ten seconds":      variant(func(c *scenario) { c.deadlyPerSecond, c.seconds = 0.1, 200 }),
		"first part":              variant(func(c *scenario) { c.place = 0 }),
		"middle part":             variant(func(c *scenario) { c.place = 1 }),
		"two parts":               variant(func(c *scenario) { c.parts = 2 }),
		"few sound requests":      variant(func(c *scenario) { c.soundPerSecond, c.seconds = 2, 100 }),
		"rare topics":             variant(func(c *scenario) { c.topics = 2000 }),
		"one workspace and model": variant(func(c *scenario) { c.models, c.workspaces = 1, 1 }),
		"sound at first":          variant(func(c *scenario) { c.soundSeconds = 20 }),
		"nodes restart": variant(func(c *scenario) {
			c.trouble = func(s *simulation, second int) { s.restart(second % len(s.tables)) }
		}),
		"endpoints crash together": variant(func(c *scenario) {
			c.deadlyPerSecond = 0
			c.trouble = func(s *simulation, second int) {
				if second%5 == 0 {
					s.crash()
				}
			}
		}),
		"endpoints crash together beside": variant(func(c *scenario) {
			c.trouble = func(s *simulation, second int) {
				if second%5 == 0 {
					s.crash()
				}
			}
		}),
		"a domain is lost": variant(func(c *scenario) {
			c.trouble = func(s *simulation, second int) {
				if second%5 == 0 {
					s.loseDomain(second / 5 % 6)
				}
			}
		}),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(seed, 9, 18)
					s.onSecond = c.trouble
					number := 0
					s.run(time.Duration(c.seconds)*time.Second, c.arrivals(&number))
					t.Logf("seed %d: %d endpoints ended, %d late requests; %d sound requests held back, %d begun", seed, len(s.endings), s.late, s.soundHeld, s.soundBegun)
					qt.Check(t, s.late <= lateSends*c.parts, qt.IsTrue, qt.Commentf("%d requests with a deadly part sent", s.late))
					qt.Check(t, s.soundHeld <= s.soundBegun/20, qt.IsTrue, qt.Commentf("%d sound requests held back, %d begun", s.soundHeld, s.soundBegun))
				})
			}
		})
	}
}
