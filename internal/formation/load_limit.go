package formation

// loadsInProgress counts the loads in progress. Loads whose purpose is unknown, because an earlier leader ordered them,
// count as speculative, so that the loads urgent for this leader still get the whole reserve.
type loadsInProgress struct {
	urgent, speculative int
}

func (l loadsInProgress) total() int { return l.urgent + l.speculative }

func (l *loadsInProgress) add(speculative bool) {
	if speculative {
		l.speculative++
		return
	}
	l.urgent++
}

// allows reports whether one more load stays within the limit. Urgent loads may use the whole limit; speculative loads
// leave free what urgent loads use or, if that is more, the reserve.
func (l loadsInProgress) allows(speculative bool, limit, reserve int) bool {
	limit = max(1, limit)
	if l.total() >= limit {
		return false
	}
	return !speculative || l.speculative+max(reserve, l.urgent) < limit
}

// loadsRunning counts the loads recorded as in progress.
func (p *Planner) loadsRunning() loadsInProgress {
	var running loadsInProgress
	for _, s := range p.stagings {
		running.add(s.speculative)
	}
	return running
}
