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
	sharedFraction = 0.7 // requests that begin with a shared prefix
	sharedPrefixes = 40  // distinct shared prefixes; the caches of four engines hold 48
	prefixesPerVM  = 12
	prefixRate     = 60 // requests per second, 80 % of the pool's capacity when half of the prompts hit
	prefixDuration = 12 * time.Second
)

// prefixes measures how often a prompt's shared prefix is found in the engine's cache. The prompts of the baseline are too short for
// moorrun to prefer a group for them; to the engines they are equivalent.
func prefixes(h *harness) ([]result, error) {
	base, _, baseFirst, err := h.prefixHitRate(1)
	if err != nil {
		return nil, err
	}
	const repeats = 20 // makes prompts of at least 320 bytes
	ours, skew, first, err := h.prefixHitRate(repeats)
	best := pinnedHitRate(prefixPrompts(repeats))
	return []result{
		{"prefix hits, to placing by load alone", "part", base, ours, ">1x", ours > base},
		{"prefix hits, to the best placement", "part", best, ours, ">=0.8x", ours >= 0.8*best},
		{"requests of the busiest group, to the mean", "ratio", 1, skew, "<=1.25", skew <= 1.25},
		{"mean first token, to placing by load alone", "ms", baseFirst, first, "<1x", first < baseFirst},
	}, err
}

// prefixPrompts returns the prompts of the load, with each prefix repeated the given number of times.
func prefixPrompts(repeats int) []string {
	r := rand.New(rand.NewPCG(3, 3)) //nolint:gosec // fixed seed for reproducibility
	prompts := make([]string, int(prefixRate*prefixDuration.Seconds())+1)
	for i := range prompts {
		prefix := fmt.Sprintf("alone-%09d-", i)
		if r.Float64() < sharedFraction {
			prefix = fmt.Sprintf("shared-%08d-", r.IntN(sharedPrefixes))
		}
		prompts[i] = strings.Repeat(prefix, repeats) + fmt.Sprint(" q", i)
	}
	return prompts
}

// pinnedHitRate returns the hit rate in four caches if each shared prefix is pinned to one cache and the other prompts are assigned
// round robin: the best placement that keeps the load even.
func pinnedHitRate(prompts []string) float64 {
	caches := make([]standin.PrefixCache, 4)
	hits := 0
	for i, p := range prompts {
		var number int
		at := i % len(caches)
		if n, _ := fmt.Sscanf(p, "shared-%08d-", &number); n == 1 {
			at = number % len(caches)
		}
		if caches[at].Touch(p, prefixesPerVM) {
			hits++
		}
	}
	return float64(hits) / float64(len(prompts))
}

// prefixHitRate returns the fraction of requests that hit, the ratio of the busiest group's load to the mean load, and the mean time to
// first token, for prompts whose prefix is repeated the given number of times.
func (h *harness) prefixHitRate(repeats int) (hitRate, skew, firstTokenMS float64, err error) {
	o := h.smallOptions()
	o.PrefixCacheSize, o.Prefill = prefixesPerVM, 150*time.Millisecond
	l, nodes, err := h.start(o, 2, 4)
	if err != nil {
		return 0, 0, 0, err
	}
	defer l.Close()
	c := lab.NewCaller("donors-caller-token")
	prompts := prefixPrompts(repeats)
	lat := newLatencies()
	openLoop(prefixRate, prefixDuration, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: lettersModel, Prompt: prompts[n%len(prompts)], Tokens: 20})
		if reply.Complete {
			lat.add(reply.FirstToken)
		}
	})
	var hits, all, busiest float64
	for _, e := range l.Engines {
		hits += float64(e.Cache.Hits.Load())
		all += float64(e.Cache.Hits.Load() + e.Cache.Misses.Load())
		busiest = max(busiest, float64(e.Runs.Load()))
	}
	const groups = 4
	return hits / all, busiest / (all / groups), lat.meanMS(), nil
}
