package main

import (
	"container/heap"
	"time"
)

// place is one place of a replica in the oracle's queue model.
type place struct {
	free    time.Duration // when it is free
	prefill time.Duration
	service time.Duration
}

type placeHeap []place

func (h placeHeap) Len() int           { return len(h) }
func (h placeHeap) Less(i, j int) bool { return h[i].free < h[j].free }
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

// oracleFirstToken plays requests at a rate through one queue that knows every place exactly and sends each
// request where its first token comes first; it is the best any choice could do on these stand-ins.
func oracleFirstToken(perSecond float64) *latencies {
	quick, slow := &placeHeap{}, &placeHeap{}
	for range 24 {
		heap.Push(quick, place{0, 21 * time.Millisecond, 213 * time.Millisecond})
	}
	for range 8 {
		heap.Push(slow, place{0, 102 * time.Millisecond, 1060 * time.Millisecond})
	}
	lat := newLatencies()
	const requests = 2000
	for n := range requests {
		at := time.Duration(float64(n) / perSecond * float64(time.Second))
		from := quick
		if first(slow, at) < first(quick, at) {
			from = slow
		}
		p := heap.Pop(from).(place) //nolint:forcetypeassert // only places
		lat.add(first(&placeHeap{p}, at))
		p.free = max(p.free, at) + p.service
		heap.Push(from, p)
	}
	return lat
}

func first(h *placeHeap, at time.Duration) time.Duration {
	p := (*h)[0]
	return max(0, p.free-at) + p.prefill
}
