package formation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/engine"
)

// estate lists endpoints of several domains while requests come.
type estate struct {
	list   []*endpoint.Endpoint
	demand map[string]int
	now    time.Time
}

// add lists an endpoint that holds one model and has another staged on its host; either may be empty.
func (s *estate) add(domain, model, staged string) *endpoint.Endpoint {
	e := &endpoint.Endpoint{ID: fmt.Sprintf("e%02d", len(s.list)), Service: "lm", Domain: domain, Revision: 1}
	if model != "" {
		e.Models = []string{model}
	}
	if staged != "" {
		e.Staged = []string{staged}
	}
	s.list = append(s.list, e)
	return e
}

// group lists an open group of the model whose members have the other one staged.
func (s *estate) group(name, domain, model, staged string, size int) {
	for rank := range size {
		state := endpoint.Ready
		if rank == 0 {
			state = endpoint.Open
		}
		s.add(domain, model, staged).Membership = &endpoint.Membership{Group: name, Epoch: 1, Rank: rank, State: state}
	}
}

// settled returns a planner that has led for long enough to load and to convert, and knows the demand.
func (s *estate) settled() *Planner {
	p := NewPlanner(2, origin)
	s.now = origin.Add(2 * firstLoadDelay)
	for model, n := range s.demand {
		p.demand[model] = float64(n)
	}
	return p
}

func (s *estate) view() *View {
	d := endpoint.NewDirectory(time.Second)
	d.Apply(s.list, nil, s.now)
	return &View{Now: s.now, AsOf: s.now, Steady: origin.Add(-time.Hour), Service: testService(), Snapshot: d.Read(), Demand: s.demand, Busy: true}
}

// orders returns the endpoints that get an order of that kind, with the model.
func orders(list []Order, kind Kind) map[string]string {
	out := make(map[string]string)
	for _, o := range list {
		if o.Kind == kind {
			out[o.Endpoint.ID] = o.Model
		}
	}
	return out
}

func TestIdleEndpointsServeTheOtherModelBesideAPressedOne(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 1}} // 0.9 and 0.1 of their places
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	one, two := s.add("d2", "", "small"), s.add("d2", "", "small")
	given, _ := s.settled().Step(s.view())
	qt.Check(t, orders(given, Join), qt.DeepEquals, map[string]string{one.ID: "small", two.ID: "small"})
}

func TestEndpointsThatThePressedModelCanUseAreLeftToIt(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	s.add("d2", "", "big")
	s.add("d2", "", "big")
	given, _ := s.settled().Step(s.view())
	qt.Check(t, orders(given, Join), qt.HasLen, 0)
}

func TestConversionDoesNotWaitForGroupsThatRetireElsewhere(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 2}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d2", "small", "big", 2)
	s.group("c", "d2", "small", "big", 2)
	s.group("d", "d3", "small", "small", 2)
	s.group("e", "d3", "small", "small", 2)
	p := s.settled()
	v := s.view()
	p.retire(v, "e", 1, v.Snapshot.Groups["e"].Head, "its head is silent", time.Minute)
	p.Step(v)
	qt.Check(t, p.Retiring(), qt.HasLen, 3, qt.Commentf("both groups of d2 are ended for the other model: %v", p.Retiring()))
	qt.Check(t, p.reserved["d2"].model, qt.Equals, "big")
}

func TestNoConversionWhereBothModelsAreStrained(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 8, "small": 12}} // 0.8 and 0.6 of their places
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d2", "small", "big", 2)
	s.group("c", "d3", "small", "big", 2)
	s.add("d2", "big", "small")
	p := s.settled()
	p.Step(s.view())
	qt.Check(t, p.Retiring(), qt.HasLen, 0, qt.Commentf("the smaller one would have 1.2 requests for a place"))
	s.demand["small"] = 3
	p = s.settled()
	p.Step(s.view())
	qt.Check(t, p.Retiring(), qt.HasLen, 1)
}

func TestConversionsUnderWayCountAsSupply(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 2}}
	s.group("a", "d1", "big", "small", 3)
	for i, domain := range []string{"d2", "d3"} {
		s.group(fmt.Sprint("b", i), domain, "small", "big", 2)
		s.group(fmt.Sprint("c", i), domain, "small", "big", 2)
	}
	p := s.settled()
	p.Step(s.view())
	s.now = s.now.Add(2 * conversionInterval)
	p.Step(s.view())
	qt.Check(t, p.reserved, qt.HasLen, 1, qt.Commentf("one more group of three is enough for nine requests"))
}

func TestGroupIsFormedOfThoseThatForgetNothing(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 2, "small": 6}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	s.add("d2", "big", "small") // would forget the larger model
	s.add("d2", "small", "big")
	s.add("d2", "small", "")
	given, _ := s.settled().Step(s.view())
	qt.Check(t, orders(given, Join), qt.DeepEquals, map[string]string{"e06": "small", "e07": "small"})
}

func TestNoModelIsForgottenThatCouldNotServeItsRequestsAfterwards(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 6, "small": 8}} // of ten places each
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "", 2)
	for range 3 {
		s.add("d2", "big", "small") // the only other group of the larger model there could be
	}
	given, _ := s.settled().Step(s.view())
	qt.Check(t, orders(given, Join), qt.DeepEquals, map[string]string{"e05": "big", "e06": "big", "e07": "big"})
	s.demand = map[string]int{"big": 5, "small": 6}
	s.list = s.list[:7]
	s.add("d2", "", "") // of those in d2 only two are left that hold it
	s.add("d1", "big", "small")
	given, _ = s.settled().Step(s.view())
	qt.Check(t, orders(given, Join), qt.DeepEquals, map[string]string{"e05": "small", "e06": "small"}, qt.Commentf("alone they are of no use to the larger one"))
}

func TestGroupWithoutItsHeadIsNoSupply(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	s.group("c", "d2", "big", "small", 3)
	s.list[5].Membership = nil // the head of c
	v := s.view()
	qt.Check(t, s.settled().assignedEndpoints(v), qt.DeepEquals, map[string]int{"big": 3, "small": 2})
}

func TestOrdersCarryTheTenure(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 1}}
	s.add("d2", "", "small")
	s.add("d2", "", "small")
	given, _ := s.settled().Step(s.view())
	qt.Assert(t, given, qt.HasLen, 2)
	qt.Check(t, given[0].Tenure, qt.Equals, int64(2))
}

func TestFencedLeaveEndsNothing(t *testing.T) {
	// The order of a leader that has been succeeded: the head still serves.
	s := &estate{demand: map[string]int{"big": 1, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	p, v := s.settled(), s.view()
	head := v.Snapshot.Groups["a"].Head
	p.retire(v, "a", 1, head, "a member is lost", 0)
	p.RecordOutcome(Order{Kind: Leave, Endpoint: head, Group: "a", Epoch: 1}, Fenced, s.now)
	qt.Check(t, p.Retiring(), qt.DeepEquals, []string{"a"})
	qt.Check(t, p.isFree(v, head), qt.IsFalse)
}

func TestOthersAreToldOfAGroupThatHasLostAMember(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 1, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	p, v := s.settled(), s.view()
	v.Suspects = map[string]bool{"a": true}
	v.Contacts = map[string]Contact{"e01": {Failed: s.now, Refused: true}}
	p.Step(v)
	qt.Check(t, p.Lost(), qt.DeepEquals, []string{"a"})
	s.now = s.now.Add(lostGroupRetention + time.Millisecond)
	v = s.view()
	v.Contacts = map[string]Contact{"e01": {Failed: s.now, Refused: true}}
	p.Step(v)
	qt.Check(t, p.Lost(), qt.HasLen, 0)
}

func TestHeadThatLeavesServesOnAfterItHasStoppedListening(t *testing.T) {
	// Found by a hunt (gjafabru trouble-1 --seed 733279487052): TWO.
	s := &estate{demand: map[string]int{"big": 1, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	head := s.list[0]
	head.Draining = true
	p, v := s.settled(), s.view()
	p.retire(v, "a", 1, head, "a member is leaving", 0)
	p.RecordOutcome(Order{Kind: Leave, Endpoint: head, Group: "a", Epoch: 1}, Elsewhere, s.now)
	v.Contacts = map[string]Contact{head.ID: {Failed: s.now.Add(-time.Second), Refused: true}}
	p.Step(v)
	qt.Check(t, p.Retiring(), qt.DeepEquals, []string{"a"})
	delete(v.Snapshot.Endpoints, head.ID)
	v.Snapshot.Gone = map[string]endpoint.Gone{head.ID: {Endpoint: head, At: s.now}}
	qt.Check(t, v.dead(head.ID), qt.IsTrue, qt.Commentf("its entry is removed once it has left"))
	head.Draining = false
	qt.Check(t, v.dead(head.ID), qt.IsFalse, qt.Commentf("it left without a word and may serve on"))
	v.Now = v.Now.Add(leavesWithin)
	qt.Check(t, v.dead(head.ID), qt.IsTrue)
}

func TestRefusalProvesNoDeathWhileRemovalsMayBeHeldBack(t *testing.T) {
	// Found by a hunt (hanbit-docs trouble-3 --seed 122297152857): TWO. The head left while the store was away, without
	// a word, and stopped listening; it was listed still, because removals are held back after the store's return.
	s := &estate{demand: map[string]int{"big": 1, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	s.settled()
	for _, beat := range []time.Duration{1200 * time.Millisecond, 5 * time.Second} {
		v := s.view()
		v.Beat = beat
		v.Contacts = map[string]Contact{"e00": {Failed: s.now, Refused: true}}
		v.Steady = s.now.Add(-3 * beat) // its entry may have been written last just before the store was away
		qt.Check(t, v.dead("e00"), qt.IsFalse, qt.Commentf("%v", beat))
	}
	v := s.view()
	v.Contacts = map[string]Contact{"e00": {Failed: s.now, Refused: true}}
	v.Steady = time.Time{}
	qt.Check(t, v.dead("e00"), qt.IsFalse, qt.Commentf("the list is not current"))
	v.Now = v.Now.Add(leavesWithin)
	qt.Check(t, v.dead("e00"), qt.IsTrue, qt.Commentf("it has had the time to finish"))
	v.Now, v.Steady = s.now, s.now.Add(-lapseBeats*v.Beat-lapseSlack)
	qt.Check(t, v.dead("e00"), qt.IsTrue)
}

func TestCrashedHeadIsDeadAtOnce(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 1, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	s.settled()
	v := s.view()
	v.Contacts = map[string]Contact{"e00": {Failed: s.now, Refused: true}}
	qt.Check(t, v.dead("e00"), qt.IsTrue)
	v.Contacts = map[string]Contact{"e00": {Failed: s.now.Add(time.Millisecond), Refused: true}}
	qt.Check(t, v.dead("e00"), qt.IsFalse, qt.Commentf("the listing is older than the refusal"))
}

// longPrompts is a mix that reads for that much of the time of one group of the test's engine.
func longPrompts(groups float64) engine.Mix {
	const tokens = 2000
	perSecond := groups * 50_000 / tokens
	return engine.Mix{PerSecond: perSecond, Tokens: perSecond * tokens, Squares: perSecond * tokens * tokens, Objective: 300 * time.Millisecond}
}

func TestModelThatReadsLongPromptsKeepsItsGroupsThoughFewOfItsRequestsRun(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 14, "small": 4}} // 0.7 of the places of two groups, 0.1 of those of four
	for _, name := range []string{"a", "b"} {
		s.group(name, name, "big", "small", 3)
	}
	for _, name := range []string{"c", "d", "e", "f"} {
		s.group(name, "d1", "small", "big", 2)
	}
	retired := func(mixes map[string]engine.Mix) int {
		p := s.settled()
		v := s.view()
		v.Service.Engine.Figures = engine.Figures{Step: 6 * time.Millisecond, ReadPerSecond: 50_000, Stride: 7}
		v.Mixes = mixes
		p.Step(v)
		return len(p.Retiring())
	}
	qt.Check(t, retired(nil), qt.Equals, 2, qt.Commentf("by places alone two groups of four are plenty"))
	mixes := map[string]engine.Mix{"small": longPrompts(1.5)}
	qt.Check(t, retired(mixes), qt.Equals, 0, qt.Commentf("the four read for 0.38 of their time, and two would for 0.75"))
}

func TestFewMembersMakeTheRestOfALostGroupServeAgain(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 32, "small": 19}} // 0.8 and 0.48 of their places
	for _, name := range []string{"a", "b", "c", "d"} {
		s.group(name, "d2", "big", "small", 3)
	}
	for i := range 4 {
		s.group(fmt.Sprint("e", i), "d1", "small", "big", 2)
	}
	p := s.settled()
	p.Step(s.view())
	qt.Check(t, p.Retiring(), qt.HasLen, 0, qt.Commentf("two of four groups would leave 0.95 of the places in use"))
	s.add("d1", "big", "small")
	s.add("d1", "big", "small")
	p = s.settled()
	p.Step(s.view())
	qt.Check(t, p.Retiring(), qt.HasLen, 1, qt.Commentf("one group makes two idle endpoints a fifth one: 0.64 and 0.63"))
}
