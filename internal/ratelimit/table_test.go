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

func TestLimitAppliesWhileAnswersNameIt(t *testing.T) {
	table := ratelimit.NewTable(origin)
	var changes []ratelimit.Limit
	table.OnChange = func(_ string, l ratelimit.Limit) { changes = append(changes, l) }
	twoPerSecond := ratelimit.Limit{PerSecond: 2, Named: true}
	table.RecordAnswer("a", ratelimit.Limit{}, at(0), at(0))
	qt.Check(t, table.CountNamed(), qt.Equals, 0)
	table.RecordAnswer("a", twoPerSecond, at(1), at(2))
	table.RecordAnswer("a", twoPerSecond, at(2), at(3))
	qt.Check(t, table.Limit("a"), qt.Equals, twoPerSecond)
	table.RecordAnswer("a", ratelimit.Limit{}, at(2.5), at(4))
	qt.Check(t, table.Limit("a"), qt.Equals, twoPerSecond, qt.Commentf("the answered request may have been sent before the limit was named"))
	table.RecordAnswer("a", ratelimit.Limit{}, at(3.5), at(5))
	qt.Check(t, table.Limit("a"), qt.Equals, ratelimit.Limit{})
	qt.Check(t, table.CountNamed(), qt.Equals, 0)
	qt.Check(t, changes, qt.DeepEquals, []ratelimit.Limit{twoPerSecond, {}})
}

func TestLimitOfSilentEndpointExpires(t *testing.T) {
	table := ratelimit.NewTable(origin)
	table.RecordAnswer("a", ratelimit.Limit{PerSecond: 2, Named: true}, at(0), at(0))
	table.Sweep(at(59))
	qt.Check(t, table.CountNamed(), qt.Equals, 1)
	table.Sweep(at(61))
	qt.Check(t, table.CountNamed(), qt.Equals, 0)
}

// fleet is a set of nodes that send to one endpoint and receive each other's reports with a delay.
type fleet struct {
	tables     []*ratelimit.Table
	delayBeats int                   // in heartbeats
	reports    [][]gossip.RateLimits // by heartbeat and node
}

const (
	beatInterval = 100 * time.Millisecond
	endpoint     = "e"
)

// others returns the sum of the reports that a node has received from the others.
func (f *fleet) others(node int) gossip.RateLimits {
	totals := gossip.NewTotals()
	if i := len(f.reports) - 1 - f.delayBeats; i >= 0 {
		for other, r := range f.reports[i] {
			if other != node {
				totals.Add(&gossip.Status{Limits: r})
			}
		}
	}
	return totals.Limits
}

// exchangeReports lets each node merge the reports it has received and create its next report.
func (f *fleet) exchangeReports(now time.Time) {
	var reports []gossip.RateLimits
	for node, t := range f.tables {
		t.MergeReports(f.others(node), now)
		reports = append(reports, t.Report(now))
	}
	f.reports = append(f.reports, reports)
}

// Guards against all nodes together exceeding the rate limit of an endpoint, whatever the number of nodes, the delay of their
// reports, and the distribution and rate of incoming requests.
func TestAllNodesTogetherKeepALimit(t *testing.T) {
	const (
		step         = 5 * time.Millisecond
		limitStart   = 6 * time.Second
		enforcedFrom = limitStart + 3*time.Second
		end          = 20 * time.Second
		window       = 4 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f := &fleet{delayBeats: rapid.IntRange(0, 6).Draw(t, "delay in heartbeats")}
		for range rapid.IntRange(1, 40).Draw(t, "nodes") {
			table := ratelimit.NewTable(origin)
			table.Draw = random.Float64
			f.tables = append(f.tables, table)
		}
		limit := ratelimit.Limit{PerSecond: rapid.Float64Range(0.3, 6).Draw(t, "limit"), Named: true}
		requestRate := rapid.Float64Range(1, 30).Draw(t, "request rate")
		rateBeforeLimit := min(requestRate, 6) // bounded, as requests sent just before the limit is enforced cannot be undone
		var sent []time.Duration
		for now := time.Duration(0); now < end; now += step {
			if now%beatInterval == 0 {
				f.exchangeReports(origin.Add(now))
			}
			rate := requestRate
			if now < limitStart {
				rate = rateBeforeLimit
			}
			if random.Float64() >= rate*step.Seconds() {
				continue
			}
			node := random.IntN(len(f.tables))
			if !f.tables[node].Admit(endpoint, f.others(node), origin.Add(now)) {
				continue
			}
			sent = append(sent, now)
			if now >= limitStart {
				f.tables[node].RecordAnswer(endpoint, limit, origin.Add(now), origin.Add(now))
			}
		}
		allowed := int(1.5*limit.PerSecond*window.Seconds()) + 5
		for i, last := range sent {
			first := i
			for first > 0 && last-sent[first-1] < window {
				first--
			}
			if got := i - first + 1; last > enforcedFrom && got > allowed {
				t.Fatalf("%d requests in %s until %s, allowed %d", got, window, last, allowed)
			}
		}
	})
}

func TestSingleNodeCanUseTheLimit(t *testing.T) {
	f := &fleet{tables: []*ratelimit.Table{ratelimit.NewTable(origin), ratelimit.NewTable(origin), ratelimit.NewTable(origin)}}
	f.tables[0].RecordAnswer(endpoint, ratelimit.Limit{PerSecond: 2, Named: true}, at(0), at(0))
	sent := 0
	for now := 0.0; now < 60; now += 0.1 {
		f.exchangeReports(at(now))
		if f.tables[1].Admit(endpoint, f.others(1), at(now)) {
			sent++
		}
	}
	qt.Check(t, sent > 60, qt.IsTrue, qt.Commentf("%d of 120", sent))
	qt.Check(t, sent <= 120, qt.IsTrue, qt.Commentf("%d of 120", sent))
}

func TestOneRequestIsAdmittedToDetectEndOfLimit(t *testing.T) {
	table := ratelimit.NewTable(origin)
	table.Draw = func() float64 { return 0 }
	table.RecordAnswer(endpoint, ratelimit.Limit{Named: true}, at(0), at(0))
	qt.Check(t, table.Admit(endpoint, nil, at(0.5)), qt.IsFalse, qt.Commentf("counts of the other nodes may not have arrived yet"))
	qt.Check(t, table.Admit(endpoint, nil, at(2)), qt.IsTrue)
	qt.Check(t, table.Admit(endpoint, nil, at(3)), qt.IsFalse)
	table.RecordAnswer(endpoint, ratelimit.Limit{}, at(2), at(3))
	qt.Check(t, table.Admit(endpoint, nil, at(3)), qt.IsTrue)
}

// Guards against heartbeats that report ended limits forever.
func TestEndOfLimitIsReportedForBoundedTime(t *testing.T) {
	table := ratelimit.NewTable(origin)
	table.RecordAnswer(endpoint, ratelimit.Limit{PerSecond: 2, Named: true}, at(0), at(0))
	table.RecordAnswer(endpoint, ratelimit.Limit{}, at(1), at(2))
	qt.Check(t, table.Report(at(3)), qt.HasLen, 1)
	for now := 3.0; now < 10; now++ {
		table.RecordAnswer(endpoint, ratelimit.Limit{}, at(now), at(now))
	}
	qt.Check(t, table.Report(at(10)), qt.HasLen, 0)
}
