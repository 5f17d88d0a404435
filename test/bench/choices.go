package main

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// group is one replica group of the queue model: a queue before its places.
type group struct {
	places  placeHeap
	ends    []time.Duration // when each request sent to it ends
	prefill time.Duration
	service time.Duration
}

// modelGroups are three quick groups and one five times slower, as the stand-ins are.
func modelGroups() []*group {
	out := make([]*group, 4)
	for i := range out {
		out[i] = &group{places: make(placeHeap, 8), prefill: 21 * time.Millisecond, service: 213 * time.Millisecond}
	}
	out[0].prefill, out[0].service = 102*time.Millisecond, 1060*time.Millisecond
	return out
}

// running is how many requests the group has at an instant.
func (g *group) running(at time.Duration) int {
	n := 0
	for _, end := range g.ends {
		if end > at {
			n++
		}
	}
	return n
}

// send puts a request into the group's queue and returns its time to the first token.
func (g *group) send(at time.Duration) time.Duration {
	p := heap.Pop(&g.places).(place) //nolint:forcetypeassert // only places
	start := max(p.free, at)
	p.free = start + g.service
	g.ends = append(g.ends, p.free)
	heap.Push(&g.places, p)
	return start - at + g.prefill
}

// choice picks a group for the request of that number.
type choice func(groups []*group, n int, at time.Duration) *group

func randomChoice() choice {
	r := rand.New(rand.NewPCG(5, 5)) //nolint:gosec // repeatable on purpose
	return func(groups []*group, _ int, _ time.Duration) *group { return groups[r.IntN(len(groups))] }
}

func roundRobin(groups []*group, n int, _ time.Duration) *group { return groups[n%len(groups)] }

// leastKnown picks the group with the fewest requests by reports that are renewed once a second.
func leastKnown(groups []*group, _ int, at time.Duration) *group {
	seen := at.Truncate(time.Second)
	best := groups[0]
	for _, g := range groups[1:] {
		if g.running(seen) < best.running(seen) {
			best = g
		}
	}
	return best
}

// modelFirstToken plays requests at a rate through the queue model.
func modelFirstToken(perSecond float64, choose choice) *latencies {
	groups := modelGroups()
	lat := newLatencies()
	const requests = 1000
	for n := range requests {
		at := time.Duration(float64(n) / perSecond * float64(time.Second))
		lat.add(choose(groups, n, at).send(at))
	}
	return lat
}
