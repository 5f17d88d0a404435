package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/ratelimit"
)

const (
	limitSeed   = 1
	perSecond   = 2.0  // that the endpoint names
	pressure    = 10.0 // requests a second that would go to it
	limitStep   = 10 * time.Millisecond
	limitBeat   = 100 * time.Millisecond
	limitFrom   = 10 * time.Second // the endpoint names it
	limitHolds  = limitFrom + 3*time.Second
	limitEnd    = 60 * time.Second
	limitWindow = 4 * time.Second
)

// limits compares how nodes keep a rate limit together: each to an even part of it, or all to the sum of what they have sent.
// Nothing but the limiters runs; what nodes tell is late by a lag.
func limits(*harness) ([]result, error) {
	var rows []result
	for _, c := range []struct {
		nodes int
		lag   time.Duration
		part  float64 // of the nodes that get four fifths of the requests
	}{
		{9, 200 * time.Millisecond, 1}, {9, 200 * time.Millisecond, 0.3}, {100, 400 * time.Millisecond, 0.3}, {780, 700 * time.Millisecond, 0.3},
	} {
		name := fmt.Sprintf("%d nodes, four fifths at %.1f of them", c.nodes, c.part)
		splitMost, splitUsed := playLimit(newEvenParts(c.nodes), c.nodes, c.part)
		countMost, countUsed := playLimit(newCounted(c.nodes, c.lag), c.nodes, c.part)
		allowed := 1.5*perSecond*limitWindow.Seconds() + 5
		rows = append(rows,
			result{name + ", most in 4 s", "requests", splitMost, countMost, fmt.Sprintf("<=%.0f", allowed), countMost <= allowed},
			result{name + ", limit used", "part", splitUsed, countUsed, "more", countUsed > splitUsed},
		)
	}
	return rows, nil
}

// limiter is a way to keep a limit together.
type limiter interface {
	// take reports whether a node may send now, and counts the request if so.
	take(node int, named bool, now time.Time) bool
	// beat is called once in limitBeat.
	beat(now time.Time)
}

// playLimit returns how many requests the endpoint gets in one window at the most, and the part of the limit that is used.
func playLimit(l limiter, nodes int, part float64) (most, used float64) {
	random := rand.New(rand.NewPCG(limitSeed, 0)) //nolint:gosec // repeats
	start := time.Unix(1000, 0)
	favoured := max(1, int(part*float64(nodes)))
	var sent []time.Duration
	for at := time.Duration(0); at < limitEnd; at += limitStep {
		now := start.Add(at)
		if at%limitBeat == 0 {
			l.beat(now)
		}
		if random.Float64() >= pressure*limitStep.Seconds() {
			continue
		}
		node := random.IntN(nodes)
		if random.Float64() < 0.8 {
			node = random.IntN(favoured)
		}
		if l.take(node, at >= limitFrom, now) {
			sent = append(sent, at)
		}
	}
	inForce := 0
	for i, end := range sent {
		if end < limitHolds {
			continue
		}
		inForce++
		first := i
		for first > 0 && end-sent[first-1] < limitWindow {
			first--
		}
		most = max(most, float64(i-first+1))
	}
	return most, float64(inForce) / (perSecond * (limitEnd - limitHolds).Seconds())
}

// evenParts gives each node an even part, which it may save up to one request.
type evenParts struct {
	share  float64 // requests a second
	tokens []float64
	at     []time.Time
}

func newEvenParts(nodes int) *evenParts {
	return &evenParts{share: perSecond / float64(nodes), tokens: make([]float64, nodes), at: make([]time.Time, nodes)}
}

func (s *evenParts) beat(time.Time) {}

func (s *evenParts) take(node int, named bool, now time.Time) bool {
	if !named {
		return true
	}
	if s.at[node].IsZero() {
		s.at[node] = now
	}
	s.tokens[node] = min(1, s.tokens[node]+now.Sub(s.at[node]).Seconds()*s.share)
	s.at[node] = now
	if s.tokens[node] < 1 {
		return false
	}
	s.tokens[node]--
	return true
}

// counted gives each node a table; they hear each other's after a lag.
type counted struct {
	tables  []*ratelimit.Table
	late    int // beats
	reports [][]gossip.RateLimits
}

func newCounted(nodes int, lag time.Duration) *counted {
	c := &counted{late: int(lag / limitBeat)}
	random := rand.New(rand.NewPCG(limitSeed, 1)) //nolint:gosec // repeats
	for range nodes {
		t := ratelimit.NewTable(time.Unix(1000, 0))
		t.Draw = random.Float64
		c.tables = append(c.tables, t)
	}
	return c
}

func (c *counted) beat(now time.Time) {
	var reports []gossip.RateLimits
	for _, t := range c.tables {
		reports = append(reports, t.Report(now))
	}
	c.reports = append(c.reports, reports)
	if i := len(c.reports) - 1 - c.late; i >= 0 {
		told := gossip.NewTotals()
		for _, r := range c.reports[i] {
			told.Add(&gossip.Status{Limits: r})
		}
		for _, t := range c.tables {
			t.MergeReports(told.Limits, now)
		}
	}
}

func (c *counted) take(node int, named bool, now time.Time) bool {
	const endpoint = "e"
	t := c.tables[node]
	others := gossip.NewTotals()
	if i := len(c.reports) - 1 - c.late; i >= 0 {
		for other, r := range c.reports[i] {
			if other != node {
				others.Add(&gossip.Status{Limits: r})
			}
		}
	}
	if !t.Admit(endpoint, others.Limits, now) {
		return false
	}
	t.RecordAnswer(endpoint, ratelimit.Limit{PerSecond: perSecond, Named: named}, now, now)
	return true
}
