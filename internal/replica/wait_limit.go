package replica

import "time"

// waitLimit returns how long to wait for a lost VM before a spare replaces it, at most maxWait.
//
// A reload costs the same whenever it starts, so waiting exactly as long as a reload takes never costs more
// than twice the optimum in hindsight. This is the fallback until minPauses silences have been recorded; from
// then on the limit is the one that would have caused the least downtime over the recorded silences.
func (l *pauseLog) waitLimit(reload, maxWait time.Duration) time.Duration {
	fallback := min(reload, maxWait)
	if len(l.lengths)+l.lost < minPauses {
		return fallback
	}
	best, bestCost := time.Duration(0), l.cost(0, reload)
	for _, limit := range l.lengths {
		limit += limitSlack
		if limit > maxWait {
			continue
		}
		if cost := l.cost(limit, reload); cost < bestCost {
			best, bestCost = limit, cost
		}
	}
	return best
}

const (
	// minPauses is the number of recorded silences from which the limit is derived from them.
	minPauses = 8
	// limitSlack is added to a recorded silence to get a limit that would have outlasted it.
	limitSlack = 200 * time.Millisecond
)

// cost returns the downtime that the recorded silences would have caused with the given limit.
func (l *pauseLog) cost(limit, reload time.Duration) time.Duration {
	total := time.Duration(l.lost) * (limit + reload)
	for _, d := range l.lengths {
		if d <= limit {
			total += d
		} else {
			total += limit + reload
		}
	}
	return total
}
