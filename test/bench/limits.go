package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/ratelimit"
)

const (
	limitSeed         = 1
	announcedLimit    = 2.0  // requests per second that the endpoint announces
	offeredRate       = 10.0 // offered requests per second
	limitStep         = 10 * time.Millisecond
	limitHeartbeat    = 100 * time.Millisecond
	limitAnnouncedAt  = 10 * time.Second // when the endpoint first announces its limit
	limitEnforcedFrom = limitAnnouncedAt + 3*time.Second
	limitEnd          = 60 * time.Second
	limitWindow       = 4 * time.Second
)

// limits compares two ways for nodes to enforce a common rate limit: an even split of it, or counting the requests of all nodes.
// Only the limiters run, in simulated time. Reports of other nodes arrive after a lag.
func limits(*harness) ([]result, error) {
	var rows []result
	for _, c := range []struct {
		nodes    int
		lag      time.Duration
		favoured float64 // fraction of the nodes that receive four fifths of the requests
	}{
		{9, 200 * time.Millisecond, 1}, {9, 200 * time.Millisecond, 0.3}, {100, 400 * time.Millisecond, 0.3}, {780, 700 * time.Millisecond, 0.3},
	} {
		name := fmt.Sprintf("%d nodes, four fifths at %.1f of them", c.nodes, c.favoured)
		splitMax, splitUsed := simulateLimit(newEvenSplit(c.nodes), c.nodes, c.favoured)
		countMax, countUsed := simulateLimit(newSharedCounts(c.nodes, c.lag), c.nodes, c.favoured)
		allowed := 1.5*announcedLimit*limitWindow.Seconds() + 5
		rows = append(rows,
			result{name + ", most in 4 s", "requests", splitMax, countMax, fmt.Sprintf("<=%.0f", allowed), countMax <= allowed},
			result{name + ", limit used", "part", splitUsed, countUsed, "more", countUsed > splitUsed},
		)
	}
	return rows, nil
}

// limiter enforces one endpoint's rate limit on all nodes.
type limiter interface {
	// admit reports whether a node may send a request now, and counts it if so.
	admit(node int, named bool, now time.Time) bool
	// heartbeat is called once per limitHeartbeat.
	heartbeat(now time.Time)
}

// simulateLimit returns the largest number of requests that the endpoint receives in one window, and the fraction of the limit that
// is used.
func simulateLimit(l limiter, nodes int, favoured float64) (most, used float64) {
	random := rand.New(rand.NewPCG(limitSeed, 0)) //nolint:gosec // fixed seed for reproducibility
	start := time.Unix(1000, 0)
	favouredNodes := max(1, int(favoured*float64(nodes)))
	var sent []time.Duration
	for at := time.Duration(0); at < limitEnd; at += limitStep {
		now := start.Add(at)
		if at%limitHeartbeat == 0 {
			l.heartbeat(now)
		}
		if random.Float64() >= offeredRate*limitStep.Seconds() {
			continue
		}
		node := random.IntN(nodes)
		if random.Float64() < 0.8 {
			node = random.IntN(favouredNodes)
		}
		if l.admit(node, at >= limitAnnouncedAt, now) {
			sent = append(sent, at)
		}
	}
	enforced := 0
	for i, end := range sent {
		if end < limitEnforcedFrom {
			continue
		}
		enforced++
		first := i
		for first > 0 && end-sent[first-1] < limitWindow {
			first--
		}
		most = max(most, float64(i-first+1))
	}
	return most, float64(enforced) / (announcedLimit * (limitEnd - limitEnforcedFrom).Seconds())
}

// evenSplit gives each node an equal share of the limit, in a token bucket that holds one request.
type evenSplit struct {
	share   float64 // requests per second and node
	tokens  []float64
	updated []time.Time
}

func newEvenSplit(nodes int) *evenSplit {
	return &evenSplit{share: announcedLimit / float64(nodes), tokens: make([]float64, nodes), updated: make([]time.Time, nodes)}
}

func (s *evenSplit) heartbeat(time.Time) {}

func (s *evenSplit) admit(node int, named bool, now time.Time) bool {
	if !named {
		return true
	}
	if s.updated[node].IsZero() {
		s.updated[node] = now
	}
	s.tokens[node] = min(1, s.tokens[node]+now.Sub(s.updated[node]).Seconds()*s.share)
	s.updated[node] = now
	if s.tokens[node] < 1 {
		return false
	}
	s.tokens[node]--
	return true
}

// sharedCounts gives each node a ratelimit.Table. The tables receive each other's reports after a delay.
type sharedCounts struct {
	tables  []*ratelimit.Table
	delay   int // in heartbeats
	reports [][]gossip.RateLimits
}

func newSharedCounts(nodes int, lag time.Duration) *sharedCounts {
	c := &sharedCounts{delay: int(lag / limitHeartbeat)}
	random := rand.New(rand.NewPCG(limitSeed, 1)) //nolint:gosec // fixed seed for reproducibility
	for range nodes {
		t := ratelimit.NewTable(time.Unix(1000, 0))
		t.Draw = random.Float64
		c.tables = append(c.tables, t)
	}
	return c
}

func (c *sharedCounts) heartbeat(now time.Time) {
	var reports []gossip.RateLimits
	for _, t := range c.tables {
		reports = append(reports, t.Report(now))
	}
	c.reports = append(c.reports, reports)
	if i := len(c.reports) - 1 - c.delay; i >= 0 {
		totals := gossip.NewTotals()
		for _, r := range c.reports[i] {
			totals.Add(&gossip.Status{Limits: r})
		}
		for _, t := range c.tables {
			t.MergeReports(totals.Limits, now)
		}
	}
}

func (c *sharedCounts) admit(node int, named bool, now time.Time) bool {
	const endpoint = "e"
	t := c.tables[node]
	others := gossip.NewTotals()
	if i := len(c.reports) - 1 - c.delay; i >= 0 {
		for other, r := range c.reports[i] {
			if other != node {
				others.Add(&gossip.Status{Limits: r})
			}
		}
	}
	if !t.Admit(endpoint, others.Limits, now) {
		return false
	}
	t.RecordAnswer(endpoint, ratelimit.Limit{PerSecond: announcedLimit, Named: named}, now, now)
	return true
}
