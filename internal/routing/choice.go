package routing

import (
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// leftAlone returns those that have asked for a pause, and those that keep failing unless more than half of the rest do.
func leftAlone(refs []allocator.Ref, of func(allocator.Ref) *health, now time.Time) []allocator.Ref {
	var paused, failing []allocator.Ref
	for _, ref := range refs {
		switch h := of(ref); {
		case h.pauseLeft(now) > 0:
			paused = append(paused, ref)
		case h.isEjected(now):
			failing = append(failing, ref)
		}
	}
	if len(failing)*2 > len(refs)-len(paused) {
		return paused
	}
	return append(paused, failing...)
}

// leastPause returns how long until the first pause ends, zero if one of them has none.
func leastPause(all []*health, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, h := range all {
		left := h.pauseLeft(now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
