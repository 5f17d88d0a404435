package picker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
)

// lossFixture returns a picker with two groups, totals in which both run ten requests, and a request of 700 tokens with an objective.
func lossFixture() (*Picker, *gossip.Totals, *Requirements, []candidate) {
	p := New(Options{DataCentre: "a"})
	others := gossip.NewTotals()
	var candidates []candidate
	for _, id := range []string{"0", "1"} {
		others.Loads[gossip.KeyOf(id)] = 10
		candidates = append(candidates, candidate{
			group: id, load: 10, limit: 30, endpoint: &endpoint.Endpoint{ID: id, DataCentre: "a", Membership: &endpoint.Membership{Group: id, Epoch: 1}},
		})
	}
	others.Demands["m"] = gossip.Demand{Running: 20, Mix: engine.Mix{PerSecond: 20, Tokens: 20 * 700, Squares: 20 * 700 * 700}}
	w := &Requirements{
		Service: "lm", Model: "m", Slots: 30, Size: 1, PromptTokens: 700, Objective: 200 * time.Millisecond,
		Engine: engine.Model{Figures: engine.Figures{Step: 6 * time.Millisecond, ReadPerSecond: 15_000, Stride: 7}},
	}
	return p, others, w, candidates
}

// TestGroupWithUnreadPromptsIsAvoided guards against a choice by the number of requests where the unread prompts decide.
func TestGroupWithUnreadPromptsIsAvoided(t *testing.T) {
	p, others, w, candidates := lossFixture()
	others.Unread = gossip.Unread{gossip.KeyOf("0"): 4 * 700}
	candidates[1].load = 12
	candidates[0].cost, candidates[1].cost = 10, 12
	qt.Check(t, p.best(w, candidates, others, time.Now()).group, qt.Equals, "1")
	w.Objective = 0
	qt.Check(t, p.best(w, candidates, others, time.Now()).group, qt.Equals, "0", qt.Commentf("without an objective the count decides"))
}

func TestGroupThatIsSlowerThanPredictedIsAvoided(t *testing.T) {
	p, others, w, candidates := lossFixture()
	now := time.Now()
	candidates[1].load = 12
	qt.Check(t, p.best(w, candidates, others, now).group, qt.Equals, "0")
	p.healthOf("0", now)
	for range 10 {
		p.health["0"].correction.observe(400*time.Millisecond, 100*time.Millisecond, now)
	}
	qt.Check(t, p.best(w, candidates, others, now).group, qt.Equals, "1")
}

// TestUnknownUnreadTokensAreEstimated guards against other nodes' unread prompts counting as zero while they are not reported.
func TestUnknownUnreadTokensAreEstimated(t *testing.T) {
	p, others, w, candidates := lossFixture()
	p.runningByModel["m"], p.unreadByModel["m"] = 10, 2
	e, predicts := p.newLossEstimator(w, 2, others, time.Now())
	qt.Assert(t, predicts, qt.IsTrue)
	qt.Check(t, e.groupLoad(&candidates[0]).UnreadTokens, qt.Equals, 0.2*10*700)
	others.Unread = gossip.Unread{}
	qt.Check(t, e.groupLoad(&candidates[0]).UnreadTokens, qt.Equals, 0.0, qt.Commentf("other nodes report that they have none"))
}

func TestFullGroupCostsARejection(t *testing.T) {
	p, others, w, candidates := lossFixture()
	w.Objective = time.Minute
	e, _ := p.newLossEstimator(w, 2, others, time.Now())
	candidates[0].load = 30
	e.apply(&candidates[0])
	e.apply(&candidates[1])
	qt.Check(t, candidates[0].cost > 0.5 && candidates[1].cost < 0.01, qt.IsTrue, qt.Commentf("%v for a full group, %v for one that is not", candidates[0].cost, candidates[1].cost))
}

// BenchmarkBest measures the part of a choice that compares the sampled groups.
func BenchmarkBest(b *testing.B) {
	for name, byCount := range map[string]bool{"by count": true, "by loss": false} {
		b.Run(name, func(b *testing.B) {
			p, others, w, candidates := lossFixture()
			p.chooseByCount = byCount
			now := time.Now()
			p.recordArrival(w, now)
			for b.Loop() {
				p.best(w, candidates, others, now)
			}
		})
	}
}
