package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

// reservePolicies are the compared numbers of loads that speculative loads leave to urgent ones.
var reservePolicies = map[string]func(*Planner) func(*View) int{
	"none":     func(*Planner) func(*View) int { return func(*View) int { return 0 } },
	"half":     func(*Planner) func(*View) int { return func(v *View) int { return v.Service.Engine.LoadsAtOnce / 2 } },
	"expected": func(p *Planner) func(*View) int { return p.expectedReserve },
}

// TestReservePolicies plays the hard load with each reserve and prints what the page compares. It guards against
// speculative loads that start while an urgent one waits, and against a reserve that ends all speculative loads.
func TestReservePolicies(t *testing.T) {
	for name, policy := range reservePolicies {
		t.Run(name, func(t *testing.T) {
			h := newHardLoad(1, t.Fatalf)
			h.planner.reserve = policy(h.planner)
			h.run(40 * time.Second)
			mean, longest := h.waitStats()
			t.Logf(name+": first models waited %.2f s (longest %.1f s), urgent loads waited during %.1f s beside %.0f speculative load seconds, unserved %.2f %%; loads: %d urgent, %d speculative; %d groups converted",
				mean, longest, h.urgentWaiting.Seconds(), h.blockingSeconds, 100*h.unserved(), h.urgent, h.speculative, h.conversions)
			qt.Check(t, h.mostLoads <= 27, qt.IsTrue, qt.Commentf("%d loads at once", h.mostLoads))
			qt.Check(t, h.startedBesideWaiting, qt.Equals, 0, qt.Commentf("steps that started a speculative load while an urgent one waited"))
			qt.Check(t, h.speculative > 0, qt.IsTrue, qt.Commentf("conversions need second models"))
		})
	}
}

// TestExpectedUrgentLoadsDoNotWait adds two or three empty endpoints every 3 s to a fleet in which every endpoint lacks a
// second model. It guards against first models that wait for second models. The bound holds for first models that load
// fastest, of which the fleet needs one load for each endpoint added, as expected. The rule of the planner also gives
// endpoints a model whose groups are completed later, and such endpoints need a second load meanwhile.
func TestExpectedUrgentLoadsDoNotWait(t *testing.T) {
	waiting := func(policy string, rule firstModelRule) time.Duration {
		h := newHardLoad(2, t.Fatalf)
		h.withoutLosses = true
		h.planner.reserve, h.planner.firstModel = reservePolicies[policy](h.planner), rule
		h.run(40 * time.Second)
		return h.urgentWaiting
	}
	none, expected := waiting("none", fastestFirstModel), waiting("expected", fastestFirstModel)
	t.Logf("urgent loads waited for %v without a reserve, %v with the expected one", none, expected)
	qt.Check(t, none > 5*time.Second, qt.IsTrue, qt.Commentf("the load should show the failure without a reserve: %v", none))
	qt.Check(t, expected <= time.Second, qt.IsTrue, qt.Commentf("at most for the start rate of the weight store: %v", expected))
	none, expected = waiting("none", (*firstModelChoice).mostLacked), waiting("expected", (*firstModelChoice).mostLacked)
	t.Logf("with the rule of the planner, urgent loads waited for %v without a reserve, %v with the expected one", none, expected)
	qt.Check(t, expected < none*2/3, qt.IsTrue, qt.Commentf("the reserve should shorten the wait: %v, %v without", expected, none))
}

// ratesView returns a view at the given time of that many endpoints with a model and that many empty ones.
func ratesView(s *fleetListing, at time.Duration, warm, empty int) *View {
	for range warm {
		s.add("d1", "small", "big")
	}
	for range empty {
		s.add("d1", "", "")
	}
	s.now = origin.Add(at)
	return s.view()
}

func TestExpectedLoadsFollowRecentEvents(t *testing.T) {
	r, s, window := newLoadRates(), &fleetListing{}, 16*time.Second
	r.observe(ratesView(s, 0, 5, 3), window)
	qt.Check(t, r.expected(s.now, window), qt.Equals, 0, qt.Commentf("the endpoints that are empty at first were added at an unknown time"))
	v := ratesView(s, 4*time.Second, 0, 2)
	r.observe(v, window)
	qt.Check(t, r.expected(s.now, window), qt.Equals, 8, qt.Commentf("two in 4 s"))
	v.Contacts = map[string]Contact{"e00": {Refused: true, FailedSince: s.now}, "e01": {Refused: true, FailedSince: s.now}, "e02": {Refused: true, FailedSince: s.now}}
	r.observe(v, window)
	r.observe(v, window)
	qt.Check(t, r.expected(s.now, window), qt.Equals, 12, qt.Commentf("three losses, which the two added endpoints replace in part"))
	r.observe(ratesView(s, 16*time.Second, 0, 0), window)
	qt.Check(t, r.expected(s.now, window), qt.Equals, 3, qt.Commentf("a whole load time is observed"))
	r.observe(ratesView(s, 21*time.Second, 0, 0), window)
	qt.Check(t, r.expected(s.now, window), qt.Equals, 0, qt.Commentf("the events are more than one load time ago"))
}

func TestAnEmptyEndpointThatReturnsToTheListIsNotAdded(t *testing.T) {
	r, s := newLoadRates(), &fleetListing{}
	r.observe(ratesView(s, 0, 1, 1), time.Minute)
	v := s.view()
	gone := v.Snapshot.Endpoints["e01"]
	v.Snapshot = &endpoint.Snapshot{
		Endpoints: map[string]*endpoint.Endpoint{"e00": s.entries[0]}, Services: map[string][]*endpoint.Endpoint{"lm": s.entries[:1]},
		Gone: map[string]endpoint.Gone{"e01": {Endpoint: gone, At: s.now}},
	}
	r.observe(v, time.Minute)
	s.now = s.now.Add(5 * time.Second)
	r.observe(s.view(), time.Minute)
	qt.Check(t, r.added, qt.HasLen, 0)
}

func TestReserveOfANewTenureIsHalfTheLimit(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 1, "small": 1}}
	s.group("a", "d1", "big", "", 3)
	p := s.newSettledPlanner()
	v := s.view()
	v.Service.Engine.LoadsAtOnce = 20
	p.Step(v)
	qt.Check(t, p.expectedReserve(v), qt.Equals, 10, qt.Commentf("the rates are not yet known"))
	v.Now = v.Now.Add(4 * time.Second)
	qt.Check(t, p.expectedReserve(v), qt.Equals, 2, qt.Commentf("the members of one group of small"))
}
