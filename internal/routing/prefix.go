package routing

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/allocator"
)

const (
	// prefixBytes is how much of a prompt's beginning decides which group it prefers.
	prefixBytes = 256
	// minPrefixBytes is the length below which a prompt prefers no group: reading it costs little.
	minPrefixBytes = 64
	// waitPerByte is how long a prompt's byte may wait for the group that has read it before, maxPreferWait the
	// most: a longer prompt has more to save.
	waitPerByte   = 125 * time.Microsecond
	maxPreferWait = 40 * time.Millisecond
)

// PreferWait returns how long a prompt of that many bytes should wait for the group it prefers.
func PreferWait(bytes int) time.Duration {
	return min(maxPreferWait, time.Duration(bytes)*waitPerByte)
}

// Preferred returns the group that most probably holds the prompt's beginning in its cache, zero for none.
//
// It is the highest-ranked by rendezvous hashing over the model's usable groups. Every node comes to the same
// group without asking, so no cache events are needed, which come late and with gaps; a group's coming or
// going moves only the prefixes that were, or are now, its own.
func (r *Router) Preferred(model, prompt string, now time.Time) allocator.Ref {
	if len(prompt) < minPrefixBytes {
		return allocator.Ref{}
	}
	prefix := strconv.FormatUint(xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))]), 16)
	var best allocator.Ref
	bestScore := uint64(0)
	for _, t := range r.read(now).byModel[model] {
		score := xxhash.Sum64String(prefix + "/" + t.Group)
		if score > bestScore && r.live(t, now) {
			best, bestScore = allocator.Ref{Group: t.Group, Birth: t.Birth}, score
		}
	}
	return best
}
