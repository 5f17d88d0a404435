package ratelimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/gossip"
	_ "moorrun.dev/moorrun/internal/rapidseed"
	"moorrun.dev/moorrun/internal/ratelimit"
)

var origin = time.Unix(1000, 0)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

func TestLimitHoldsAsLongAsAnswersNameIt(t *testing.T) {
	table := ratelimit.NewTable(origin)
	var told []ratelimit.Limit
	table.Changed = func(_ string, l ratelimit.Limit) { told = append(told, l) }
	two := ratelimit.Limit{PerSecond: 2, Named: true}
	table.Said("a", ratelimit.Limit{}, at(0), at(0))
	qt.Check(t, table.Named(), qt.Equals, 0)
	table.Said("a", two, at(1), at(2))
	table.Said("a", two, at(2), at(3))
	qt.Check(t, table.Limit("a"), qt.Equals, two)
	table.Said("a", ratelimit.Limit{}, at(2.5), at(4))
	qt.Check(t, table.Limit("a"), qt.Equals, two, qt.Commentf("the answer may be older than the limit"))
	table.Said("a", ratelimit.Limit{}, at(3.5), at(5))
	qt.Check(t, table.Limit("a"), qt.Equals, ratelimit.Limit{})
	qt.Check(t, table.Named(), qt.Equals, 0)
	qt.Check(t, told, qt.DeepEquals, []ratelimit.Limit{two, {}})
}

func TestLimitOfAnEndpointThatSaysNothingMoreIsForgotten(t *testing.T) {
	table := ratelimit.NewTable(origin)
	table.Said("a", ratelimit.Limit{PerSecond: 2, Named: true}, at(0), at(0))
	table.Sweep(at(59))
	qt.Check(t, table.Named(), qt.Equals, 1)
	table.Sweep(at(61))
	qt.Check(t, table.Named(), qt.Equals, 0)
}

// fleet is nodes that send to one endpoint and hear each other late.
type fleet struct {
	tables  []*ratelimit.Table
	late    int                   // beats
	reports [][]gossip.RateLimits // by beat and node
}

const (
	beat     = 100 * time.Millisecond
	endpoint = "e"
)

// others returns what a node has heard of the others.
func (f *fleet) others(node int) gossip.RateLimits {
	totals := gossip.NewTotals()
	if i := len(f.reports) - 1 - f.late; i >= 0 {
		for other, r := range f.reports[i] {
			if other != node {
				totals.Add(&gossip.Status{Limits: r})
			}
		}
	}
	return totals.Limits
}

// tell lets each node say what it has and take in what it hears.
func (f *fleet) tell(now time.Time) {
	var reports []gossip.RateLimits
	for node, t := range f.tables {
		t.Learn(f.others(node), now)
		reports = append(reports, t.Report(now))
	}
	f.reports = append(f.reports, reports)
}

// Guards against an endpoint that names a rate limit getting more than that from all nodes together, however many nodes there
// are, how late they hear each other, and where and how often requests come in.
func TestAllNodesTogetherKeepALimit(t *testing.T) {
	const (
		step   = 5 * time.Millisecond
		named  = 6 * time.Second
		holds  = named + 3*time.Second
		end    = 20 * time.Second
		window = 4 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f := &fleet{late: rapid.IntRange(0, 6).Draw(t, "late")}
		for range rapid.IntRange(1, 40).Draw(t, "nodes") {
			table := ratelimit.NewTable(origin)
			table.Draw = random.Float64
			f.tables = append(f.tables, table)
		}
		limit := ratelimit.Limit{PerSecond: rapid.Float64Range(0.3, 6).Draw(t, "limit"), Named: true}
		pressure := rapid.Float64Range(1, 30).Draw(t, "pressure")
		before := min(pressure, 6) // more than that in the second before the rule holds can't be undone
		var sent []time.Duration
		for now := time.Duration(0); now < end; now += step {
			if now%beat == 0 {
				f.tell(origin.Add(now))
			}
			rate := pressure
			if now < named {
				rate = before
			}
			if random.Float64() >= rate*step.Seconds() {
				continue
			}
			node := random.IntN(len(f.tables))
			if !f.tables[node].Admit(endpoint, f.others(node), origin.Add(now)) {
				continue
			}
			sent = append(sent, now)
			if now >= named {
				f.tables[node].Said(endpoint, limit, origin.Add(now), origin.Add(now))
			}
		}
		allowed := int(1.5*limit.PerSecond*window.Seconds()) + 5
		for i, last := range sent {
			first := i
			for first > 0 && last-sent[first-1] < window {
				first--
			}
			if got := i - first + 1; last > holds && got > allowed {
				t.Fatalf("%d requests in %s until %s, allowed %d", got, window, last, allowed)
			}
		}
	})
}

func TestLimitIsUsedThoughRequestsComeInAtOneNodeOnly(t *testing.T) {
	f := &fleet{tables: []*ratelimit.Table{ratelimit.NewTable(origin), ratelimit.NewTable(origin), ratelimit.NewTable(origin)}}
	f.tables[0].Said(endpoint, ratelimit.Limit{PerSecond: 2, Named: true}, at(0), at(0))
	sent := 0
	for now := 0.0; now < 60; now += 0.1 {
		f.tell(at(now))
		if f.tables[1].Admit(endpoint, f.others(1), at(now)) {
			sent++
		}
	}
	qt.Check(t, sent > 60, qt.IsTrue, qt.Commentf("%d of 120", sent))
	qt.Check(t, sent <= 120, qt.IsTrue, qt.Commentf("%d of 120", sent))
}

func TestOneRequestIsAlwaysLeftToLearnThatTheLimitHasEnded(t *testing.T) {
	table := ratelimit.NewTable(origin)
	table.Draw = func() float64 { return 0 }
	table.Said(endpoint, ratelimit.Limit{Named: true}, at(0), at(0))
	qt.Check(t, table.Admit(endpoint, nil, at(0.5)), qt.IsFalse, qt.Commentf("the others' counts have not arrived"))
	qt.Check(t, table.Admit(endpoint, nil, at(2)), qt.IsTrue)
	qt.Check(t, table.Admit(endpoint, nil, at(3)), qt.IsFalse)
	table.Said(endpoint, ratelimit.Limit{}, at(2), at(3))
	qt.Check(t, table.Admit(endpoint, nil, at(3)), qt.IsTrue)
}

// Guards against beats that tell for ever of limits that have ended.
func TestEndOfALimitIsToldForAWhileOnly(t *testing.T) {
	table := ratelimit.NewTable(origin)
	table.Said(endpoint, ratelimit.Limit{PerSecond: 2, Named: true}, at(0), at(0))
	table.Said(endpoint, ratelimit.Limit{}, at(1), at(2))
	qt.Check(t, table.Report(at(3)), qt.HasLen, 1)
	for now := 3.0; now < 10; now++ {
		table.Said(endpoint, ratelimit.Limit{}, at(now), at(now))
	}
	qt.Check(t, table.Report(at(10)), qt.HasLen, 0)
}
