package replica

import "time"

// waitLimit returns how long to wait for a lost VM before a spare takes its place.
//
// Reloading costs the same whenever it starts, so waiting exactly as long as a reload takes never
// costs more than twice the best choice in hindsight. Known pauses sharpen that: the limit is the one
// that would have cost least over them.
func (l *pauseLog) waitLimit(reload, most time.Duration) time.Duration {
	fallback := min(reload, most)
	if len(l.lengths)+l.lost < minPauses {
		return fallback
	}
	best, bestCost := time.Duration(0), l.cost(0, reload)
	for _, limit := range l.lengths {
		limit += limitSlack
		if limit > most {
			continue
		}
		if cost := l.cost(limit, reload); cost < bestCost {
			best, bestCost = limit, cost
		}
	}
	return best
}

const (
	minPauses  = 8
	limitSlack = 200 * time.Millisecond
)

// cost is the downtime the known silences would have cost with that limit.
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
