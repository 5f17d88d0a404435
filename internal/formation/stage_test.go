package formation

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLoadsCompleteAGroupOfTheModelInNeed(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 5}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	s.add("d2", "", "big")
	s.add("d2", "", "big")
	empty := s.add("d2", "", "")
	sent, _ := s.newSettledPlanner().Step(s.view())
	qt.Check(t, modelsByEndpoint(sent, Stage)[empty.ID], qt.Equals, "big", qt.Commentf("small would load faster, but big is in need"))
}

func TestCheapestShortfallComesFirst(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 9}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	for range 3 {
		s.add("d2", "", "")
	}
	s.add("d3", "", "big")
	s.add("d3", "", "big")
	last := s.add("d3", "", "")
	p := s.newSettledPlanner()
	v := s.view()
	list := p.shortfalls(v)
	qt.Assert(t, len(list) > 1, qt.IsTrue)
	qt.Check(t, list[0].loadable[0].ID, qt.Equals, last.ID)
	qt.Check(t, list[0].missing, qt.Equals, 1)
}

func TestSecondModelsAreLoadedByScarcity(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 3, "small": 6}} // three groups of each are possible
	s.group("a", "d1", "big", "", 3)
	s.group("b", "d1", "small", "", 2)
	s.group("c", "d2", "small", "", 2)
	s.group("d", "d2", "big", "", 3)
	s.group("e", "d3", "big", "small", 3)
	sent, _ := s.newSettledPlanner().Step(s.view())
	staged := modelsByEndpoint(sent, Stage)
	qt.Assert(t, staged, qt.HasLen, 3, qt.Commentf("as many as may start within a second"))
	for id, model := range staged {
		qt.Check(t, model, qt.Equals, "small", qt.Commentf(id))
	}
	s.demand = map[string]int{"big": 6, "small": 3}
	sent, _ = s.newSettledPlanner().Step(s.view())
	for id, model := range modelsByEndpoint(sent, Stage) {
		qt.Check(t, model, qt.Equals, "big", qt.Commentf(id))
	}
}

func TestLoadsOfAnEarlierLeaderCountTowardsTheLimit(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	for range 5 {
		s.add("d2", "", "")
	}
	p := s.newSettledPlanner()
	s.now = p.started.Add(surveyWindow / 2)
	_, probe := p.Step(s.view())
	qt.Check(t, sorted(probe), qt.DeepEquals, []string{"e03", "e04", "e05", "e06", "e07"}, qt.Commentf("the other endpoints have both models"))
	answered := func(busy ...string) *View {
		v := s.view()
		v.Contacts = make(map[string]Contact)
		for _, id := range []string{"e03", "e04", "e05", "e06", "e07"} {
			v.Contacts[id] = Contact{LastAnswer: s.now, Busy: slices.Contains(busy, id)}
		}
		return v
	}
	p.Step(answered("e03", "e04", "e05"))
	s.now = p.started.Add(firstLoadDelay)
	sent, _ := p.Step(answered("e03", "e04", "e05"))
	qt.Check(t, modelsByEndpoint(sent, Stage), qt.HasLen, 1, qt.Commentf("three of at most four concurrent loads are in progress"))
	s.now = s.now.Add(surveyRetryInterval)
	sent, _ = p.Step(answered("e03"))
	qt.Check(t, modelsByEndpoint(sent, Stage), qt.HasLen, 2, qt.Commentf("two loads have ended"))
}

func TestRefusedLoadIsNotRetriedWhileTheEndpointIsBusy(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	e := s.add("d2", "", "")
	p := s.newSettledPlanner()
	sent, _ := p.Step(s.view())
	qt.Assert(t, modelsByEndpoint(sent, Stage), qt.HasLen, 1)
	p.RecordOutcome(sent[0], Refused, s.now)
	s.now = s.now.Add(2 * surveyRetryInterval)
	sent, probe := p.Step(s.view())
	qt.Check(t, modelsByEndpoint(sent, Stage), qt.HasLen, 0)
	qt.Check(t, probe, qt.DeepEquals, []string{e.ID})
	v := s.view()
	v.Contacts = map[string]Contact{e.ID: {LastAnswer: s.now}}
	sent, _ = p.Step(v)
	qt.Check(t, modelsByEndpoint(sent, Stage), qt.HasLen, 1, qt.Commentf("the earlier load has ended"))
}

func TestJoinDoesNotWaitForALoadOfAnotherModel(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 1, "small": 9}}
	s.group("a", "d1", "big", "small", 3)
	busy := s.add("d2", "big", "small")
	s.add("d2", "big", "small")
	s.add("d2", "small", "big")
	p := s.newSettledPlanner()
	p.stagings[busy.ID] = staging{model: "big", until: s.now.Add(time.Minute)}
	sent, _ := p.Step(s.view())
	qt.Check(t, modelsByEndpoint(sent, Join), qt.DeepEquals, map[string]string{"e04": "small", "e05": "small"})
	p = s.newSettledPlanner()
	p.stagings["e05"] = staging{model: "big", until: s.now.Add(time.Minute)}
	sent, _ = p.Step(s.view())
	qt.Check(t, modelsByEndpoint(sent, Join)["e05"], qt.Equals, "small", qt.Commentf("the model that it holds is ready at once"))
}

func TestSparesOfADomainAreSplitBetweenTheModels(t *testing.T) {
	v := (&fleetListing{}).view()
	members := map[string]int{"big": 3, "small": 4} // a loss idles two other members of big, or one of small
	spares := make(map[string]int)
	var picked []string
	for range 3 {
		m, found := spareModel(v, members, spares)
		qt.Assert(t, found, qt.IsTrue)
		spares[m.Name]++
		picked = append(picked, m.Name)
	}
	qt.Check(t, picked, qt.DeepEquals, []string{"big", "small", "big"})
	_, found := spareModel(v, nil, nil)
	qt.Check(t, found, qt.IsFalse, qt.Commentf("a domain without groups needs no spare model"))
}
