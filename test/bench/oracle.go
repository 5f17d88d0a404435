package main

import (
	"container/heap"
	"time"
)

// place is one request slot of a replica group in the queue model.
type place struct {
	freeAt  time.Duration // when its last request ends
	prefill time.Duration
	service time.Duration
}

type placeHeap []place

func (h placeHeap) Len() int           { return len(h) }
func (h placeHeap) Less(i, j int) bool { return h[i].freeAt < h[j].freeAt }
func (h placeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *placeHeap) Push(x any) { *h = append(*h, x.(place)) } //nolint:forcetypeassert // only places

// Pop implements heap.Interface.
func (h *placeHeap) Pop() any {
	old := *h
	p := old[len(old)-1]
	*h = old[:len(old)-1]
	return p
}

// oracleFirstToken simulates requests at a rate with exact knowledge of the state of every place, each request being sent to
// the place with the earliest first token. No policy can do better on these stand-in engines.
func oracleFirstToken(perSecond float64) *latencies {
	fast, slow := &placeHeap{}, &placeHeap{}
	for range 24 {
		heap.Push(fast, place{0, 21 * time.Millisecond, 213 * time.Millisecond})
	}
	for range 8 {
		heap.Push(slow, place{0, 102 * time.Millisecond, 1060 * time.Millisecond})
	}
	lat := newLatencies()
	const requests = 2000
	for n := range requests {
		at := time.Duration(float64(n) / perSecond * float64(time.Second))
		chosen := fast
		if firstTokenDelay(slow, at) < firstTokenDelay(fast, at) {
			chosen = slow
		}
		p := heap.Pop(chosen).(place) //nolint:forcetypeassert // only places
		lat.add(firstTokenDelay(&placeHeap{p}, at))
		p.freeAt = max(p.freeAt, at) + p.service
		heap.Push(chosen, p)
	}
	return lat
}

func firstTokenDelay(h *placeHeap, at time.Duration) time.Duration {
	p := (*h)[0]
	return max(0, p.freeAt-at) + p.prefill
}
