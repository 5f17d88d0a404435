package formation

import "time"

// FreeEndpoints returns the number of free endpoints of all services by reason, as of the last summary, or nil if this
// node does not hold the leader lease.
func (c *Controller) FreeEndpoints(now time.Time) map[FreeReason]int {
	return sumCounts(c, now, func(p *Planner) map[FreeReason]int { return p.freeCounts })
}

// LoadsInProgress returns the number of loads in progress of all services by purpose, as of the last summary, or nil if this node
// does not hold the leader lease.
func (c *Controller) LoadsInProgress(now time.Time) map[LoadPurpose]int {
	return sumCounts(c, now, func(p *Planner) map[LoadPurpose]int { return p.loadCounts })
}

// Shortages returns what keeps endpoints from serving each model, as of the last summary, or nil if this node does not hold the
// leader lease.
func (c *Controller) Shortages(now time.Time) []Shortage {
	if c.Leads(now) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Shortage
	for _, p := range c.planners {
		out = append(out, p.shortages...)
	}
	return out
}

// sumCounts adds up the counts of the planners of all services, or returns nil if this node does not hold the leader lease.
func sumCounts[K comparable](c *Controller, now time.Time, counts func(*Planner) map[K]int) map[K]int {
	if c.Leads(now) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[K]int)
	for _, p := range c.planners {
		for key, n := range counts(p) {
			out[key] += n
		}
	}
	return out
}
