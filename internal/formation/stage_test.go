package formation

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLoadsCompleteAGroupOfTheModelInNeed(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 5}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	s.add("d2", "", "big")
	s.add("d2", "", "big")
	empty := s.add("d2", "", "")
	given, _ := s.settled().Step(s.view())
	qt.Check(t, orders(given, Stage)[empty.ID], qt.Equals, "big", qt.Commentf("the other model would load sooner"))
}

func TestCheapestCompletionComesFirst(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 9}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	for range 3 {
		s.add("d2", "", "")
	}
	s.add("d3", "", "big")
	s.add("d3", "", "big")
	last := s.add("d3", "", "")
	p := s.settled()
	v := s.view()
	list := p.shortfalls(v)
	qt.Assert(t, len(list) > 1, qt.IsTrue)
	qt.Check(t, list[0].loadable[0].ID, qt.Equals, last.ID)
	qt.Check(t, list[0].missing, qt.Equals, 1)
}

func TestSecondModelsAreLoadedByScarcity(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 3, "small": 6}} // there could be three groups of each
	s.group("a", "d1", "big", "", 3)
	s.group("b", "d1", "small", "", 2)
	s.group("c", "d2", "small", "", 2)
	s.group("d", "d2", "big", "", 3)
	s.group("e", "d3", "big", "small", 3)
	given, _ := s.settled().Step(s.view())
	staged := orders(given, Stage)
	qt.Assert(t, staged, qt.HasLen, 3, qt.Commentf("as many as may begin a second"))
	for id, model := range staged {
		qt.Check(t, model, qt.Equals, "small", qt.Commentf(id))
	}
	s.demand = map[string]int{"big": 6, "small": 3}
	given, _ = s.settled().Step(s.view())
	for id, model := range orders(given, Stage) {
		qt.Check(t, model, qt.Equals, "big", qt.Commentf(id))
	}
}

func TestLoadsOfAnEarlierLeaderAreFoundAndWaitedFor(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	for range 5 {
		s.add("d2", "", "")
	}
	p := s.settled()
	s.now = p.started.Add(surveyWindow / 2)
	_, ask := p.Step(s.view())
	qt.Check(t, sorted(ask), qt.DeepEquals, []string{"e03", "e04", "e05", "e06", "e07"}, qt.Commentf("the others lack nothing"))
	answered := func(busy ...string) *View {
		v := s.view()
		v.Contacts = make(map[string]Contact)
		for _, id := range []string{"e03", "e04", "e05", "e06", "e07"} {
			v.Contacts[id] = Contact{Answered: s.now, Busy: slices.Contains(busy, id)}
		}
		return v
	}
	p.Step(answered("e03", "e04", "e05"))
	s.now = p.started.Add(firstLoadDelay)
	given, _ := p.Step(answered("e03", "e04", "e05"))
	qt.Check(t, orders(given, Stage), qt.HasLen, 1, qt.Commentf("three of the four at once are under way"))
	s.now = s.now.Add(surveyRetryInterval)
	given, _ = p.Step(answered("e03"))
	qt.Check(t, orders(given, Stage), qt.HasLen, 2, qt.Commentf("two have ended"))
}

func TestRefusedLoadIsNotOrderedAgainUntilTheEndpointIsDone(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	e := s.add("d2", "", "")
	p := s.settled()
	given, _ := p.Step(s.view())
	qt.Assert(t, orders(given, Stage), qt.HasLen, 1)
	p.RecordOutcome(given[0], Refused, s.now)
	s.now = s.now.Add(2 * surveyRetryInterval)
	given, ask := p.Step(s.view())
	qt.Check(t, orders(given, Stage), qt.HasLen, 0)
	qt.Check(t, ask, qt.DeepEquals, []string{e.ID})
	v := s.view()
	v.Contacts = map[string]Contact{e.ID: {Answered: s.now}}
	given, _ = p.Step(v)
	qt.Check(t, orders(given, Stage), qt.HasLen, 1, qt.Commentf("it is done"))
}

func TestJoinDoesNotWaitForALoadOfAnotherModel(t *testing.T) {
	s := &estate{demand: map[string]int{"big": 1, "small": 9}}
	s.group("a", "d1", "big", "small", 3)
	busy := s.add("d2", "big", "small")
	s.add("d2", "big", "small")
	s.add("d2", "small", "big")
	p := s.settled()
	p.stagings[busy.ID] = staging{model: "big", until: s.now.Add(time.Minute)}
	given, _ := p.Step(s.view())
	qt.Check(t, orders(given, Join), qt.DeepEquals, map[string]string{"e04": "small", "e05": "small"})
	p = s.settled()
	p.stagings["e05"] = staging{model: "big", until: s.now.Add(time.Minute)}
	given, _ = p.Step(s.view())
	qt.Check(t, orders(given, Join)["e05"], qt.Equals, "small", qt.Commentf("what it holds is ready at once"))
}

func TestSparesOfADomainCoverTheLossOfEitherModel(t *testing.T) {
	v := (&estate{}).view()
	members := map[string]int{"big": 3, "small": 4} // a loss idles two others, or one
	spares := make(map[string]int)
	var given []string
	for range 3 {
		m, found := spareModel(v, members, spares)
		qt.Assert(t, found, qt.IsTrue)
		spares[m.Name]++
		given = append(given, m.Name)
	}
	qt.Check(t, given, qt.DeepEquals, []string{"big", "small", "big"})
	_, found := spareModel(v, nil, nil)
	qt.Check(t, found, qt.IsFalse, qt.Commentf("a domain without groups"))
}
