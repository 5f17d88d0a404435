package routing

import (
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// ejectedRefs returns the refs that have requested a pause, and those that are ejected for failures unless these
// are more than half of the refs without a pause.
func ejectedRefs(refs []allocator.Ref, of func(allocator.Ref) *health, now time.Time) []allocator.Ref {
	var paused, failing []allocator.Ref
	for _, ref := range refs {
		switch h := of(ref); {
		case h.remainingPause(now) > 0:
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

// shortestPause returns the time until the first pause ends, or zero if one of the groups or endpoints is not
// paused.
func shortestPause(all []*health, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, h := range all {
		left := h.remainingPause(now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
