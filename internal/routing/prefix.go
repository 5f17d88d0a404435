package routing

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/allocator"
)

const (
	// prefixBytes is how many bytes at the beginning of a prompt determine the group that it prefers.
	prefixBytes = 256
	// minPrefixBytes is the length in bytes below which a prompt prefers no group, because processing it costs little.
	minPrefixBytes = 64
	// waitPerByte is how long a request may wait, per byte of its prompt, for the group that has processed the
	// prompt before, up to maxPreferWait. A longer prompt saves more by the wait.
	waitPerByte   = 125 * time.Microsecond
	maxPreferWait = 40 * time.Millisecond
)

// PreferWait returns how long a request with a prompt of the given length in bytes should wait for the group that
// it prefers.
func PreferWait(bytes int) time.Duration {
	return min(maxPreferWait, time.Duration(bytes)*waitPerByte)
}

// Preferred returns the group that most probably has the beginning of the prompt in its cache, or the zero Ref if
// there is none.
//
// It is the highest-ranked by rendezvous hashing over the model's usable groups. Every node computes the same group
// without communication, so no cache events are needed, which arrive late and with gaps. When a group is added or
// removed, only the prefixes that map to this group change their group.
func (r *Router) Preferred(model, prompt string, now time.Time) allocator.Ref {
	if len(prompt) < minPrefixBytes {
		return allocator.Ref{}
	}
	prefix := strconv.FormatUint(xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))]), 16)
	var best allocator.Ref
	bestScore := uint64(0)
	for _, t := range r.currentTable(now).byModel[model] {
		score := xxhash.Sum64String(prefix + "/" + t.Group)
		if score > bestScore && r.allPresent(t, now) {
			best, bestScore = allocator.Ref{Group: t.Group, Birth: t.Birth}, score
		}
	}
	return best
}
