package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/standin"
)

const (
	sharedPart   = 0.7 // of requests begin with a shared prefix
	sharedCount  = 40  // shared prefixes; four engines hold 48
	cachePerVM   = 12
	prefixRate   = 60 // requests a second, 80 % of what the pool takes when half the prompts hit
	prefixLength = 12 * time.Second
)

// prefixes measures how often a prompt's shared beginning is found in the engine's cache. The baseline's
// prompts are too short for moorrun to prefer a group, and the same to the engines.
func prefixes(h *harness) ([]result, error) {
	base, _, baseFirst, err := h.prefixHits(1)
	if err != nil {
		return nil, err
	}
	const repeats = 20 // a prompt of 320 bytes and more
	ours, skew, first, err := h.prefixHits(repeats)
	best := pinnedHits(prefixPrompts(repeats))
	return []result{
		{"prefix hits, to placing by load alone", "part", base, ours, ">1x", ours > base},
		{"prefix hits, to the best placement", "part", best, ours, ">=0.8x", ours >= 0.8*best},
		{"requests of the busiest group, to the mean", "ratio", 1, skew, "<=1.25", skew <= 1.25},
		{"mean first token, to placing by load alone", "ms", baseFirst, first, "<1x", first < baseFirst},
	}, err
}

// prefixPrompts returns the load's prompts, their beginnings repeated that many times.
func prefixPrompts(repeats int) []string {
	r := rand.New(rand.NewPCG(3, 3)) //nolint:gosec // a repeatable load
	prompts := make([]string, int(prefixRate*prefixLength.Seconds())+1)
	for i := range prompts {
		beginning := fmt.Sprintf("alone-%09d-", i)
		if r.Float64() < sharedPart {
			beginning = fmt.Sprintf("shared-%08d-", r.IntN(sharedCount))
		}
		prompts[i] = strings.Repeat(beginning, repeats) + fmt.Sprint(" q", i)
	}
	return prompts
}

// pinnedHits plays the prompts through four caches, each shared beginning pinned to one of them and the others
// dealt out in turn: the best placement that keeps the load even.
func pinnedHits(prompts []string) float64 {
	caches := make([]standin.PrefixCache, 4)
	hits := 0
	for i, p := range prompts {
		var number int
		at := i % len(caches)
		if n, _ := fmt.Sscanf(p, "shared-%08d-", &number); n == 1 {
			at = number % len(caches)
		}
		if caches[at].Touch(p, cachePerVM) {
			hits++
		}
	}
	return float64(hits) / float64(len(prompts))
}

// prefixHits returns the part of requests that hit, the busiest group's load to the mean, and the mean
// first token, with prompts whose beginning is repeated that many times.
func (h *harness) prefixHits(repeats int) (hits, skew, firstMS float64, err error) {
	o := h.small()
	o.PrefixCacheSize, o.Prefill = cachePerVM, 150*time.Millisecond
	l, nodes, err := h.start(o, 2, 4)
	if err != nil {
		return 0, 0, 0, err
	}
	defer l.Close()
	c := lab.NewCaller("donors-caller-token")
	prompts := prefixPrompts(repeats)
	lat := newLatencies()
	openLoop(prefixRate, prefixLength, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: prompts[n%len(prompts)], Tokens: 20})
		if reply.Complete {
			lat.add(reply.FirstToken)
		}
	})
	var hit, all, most float64
	for _, e := range l.Engines {
		hit += float64(e.Cache.Hits.Load())
		all += float64(e.Cache.Hits.Load() + e.Cache.Misses.Load())
		most = max(most, float64(e.Runs.Load()))
	}
	const groups = 4
	return hit / all, most / (all / groups), lat.mean(), nil
}
