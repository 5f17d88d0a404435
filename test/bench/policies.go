package main

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// group models one replica group as a queue of requests in front of its places.
type group struct {
	places      placeHeap
	finishTimes []time.Duration // end times of all requests sent to the group
	prefill     time.Duration
	service     time.Duration
}

// newModelGroups returns three fast groups and one that is five times slower, like the stand-in engines of the experiment.
func newModelGroups() []*group {
	out := make([]*group, 4)
	for i := range out {
		out[i] = &group{places: make(placeHeap, 8), prefill: 21 * time.Millisecond, service: 213 * time.Millisecond}
	}
	out[0].prefill, out[0].service = 102*time.Millisecond, 1060*time.Millisecond
	return out
}

// running returns the number of requests that the group has at a time.
func (g *group) running(at time.Duration) int {
	n := 0
	for _, end := range g.finishTimes {
		if end > at {
			n++
		}
	}
	return n
}

// enqueue adds a request to the group's queue and returns its time to first token.
func (g *group) enqueue(at time.Duration) time.Duration {
	p := heap.Pop(&g.places).(place) //nolint:forcetypeassert // only places
	start := max(p.freeAt, at)
	p.freeAt = start + g.service
	g.finishTimes = append(g.finishTimes, p.freeAt)
	heap.Push(&g.places, p)
	return start - at + g.prefill
}

// policy picks the group for request number n.
type policy func(groups []*group, n int, at time.Duration) *group

func randomPolicy() policy {
	r := rand.New(rand.NewPCG(5, 5)) //nolint:gosec // fixed seed for reproducibility
	return func(groups []*group, _ int, _ time.Duration) *group { return groups[r.IntN(len(groups))] }
}

func roundRobin(groups []*group, n int, _ time.Duration) *group { return groups[n%len(groups)] }

// leastLoadedByStaleReport picks the group with the fewest requests according to reports that are updated once a second.
func leastLoadedByStaleReport(groups []*group, _ int, at time.Duration) *group {
	reportedAt := at.Truncate(time.Second)
	best := groups[0]
	for _, g := range groups[1:] {
		if g.running(reportedAt) < best.running(reportedAt) {
			best = g
		}
	}
	return best
}

// simulateFirstToken simulates requests at a rate in the queue model and returns their times to first token.
func simulateFirstToken(perSecond float64, pick policy) *latencies {
	groups := newModelGroups()
	lat := newLatencies()
	const requests = 1000
	for n := range requests {
		at := time.Duration(float64(n) / perSecond * float64(time.Second))
		lat.add(pick(groups, n, at).enqueue(at))
	}
	return lat
}
