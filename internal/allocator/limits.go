package allocator

// adjustLimits moves the claim's limits towards the wanted number of places.
func (p *Pool) adjustLimits(n *node, c *claim, wanted int, warm bool) {
	have := 0
	for key, limit := range c.limit {
		g, ok := p.groups[key]
		if ok && !g.grantable(p.waiting, p.now) {
			have += c.running[key] // these requests finish; their places are not used again
			delete(c.limit, key)
			continue
		}
		if !ok || g.places == 0 || n.avoids(key) {
			delete(c.limit, key)
			continue
		}
		have += limit
	}
	if have > wanted {
		p.shrink(c, have-wanted)
	}
	have = p.grantPreferred(n, c, min(have, wanted), wanted, warm)
	if have < wanted {
		p.grow(n, c, wanted-have, warm)
	}
	for key, limit := range c.limit {
		p.setHeld(c, key, max(c.held[key], limit))
	}
}

// shrink revokes n places: first idle ones, from the most loaded groups, then places on which requests run.
func (p *Pool) shrink(c *claim, n int) {
	for _, idleOnly := range []bool{true, false} {
		for n > 0 {
			key, ok := p.mostLoaded(c, idleOnly)
			if !ok {
				break
			}
			c.limit[key]--
			n--
			if c.limit[key] == 0 {
				delete(c.limit, key)
			}
		}
	}
}

// mostLoaded returns the most loaded group of which the claim has a place, or an idle place if idleOnly is set.
func (p *Pool) mostLoaded(c *claim, idleOnly bool) (groupKey, bool) {
	var best groupKey
	found := false
	for _, key := range p.sortedGroups {
		limit := c.limit[key]
		if limit == 0 || idleOnly && limit <= c.running[key] {
			continue
		}
		if !found || p.load(key) > p.load(best) {
			best, found = key, true
		}
	}
	return best, found
}

// grow grants up to more free places, each from the least loaded group.
func (p *Pool) grow(n *node, c *claim, more int, warm bool) {
	for ; more > 0; more-- {
		key, ok := p.leastLoaded(n, c, warm)
		if !ok {
			return
		}
		c.limit[key]++
		if c.limit[key] > c.held[key] {
			p.setHeld(c, key, c.limit[key])
		}
	}
}

// leastLoaded returns the least loaded group of which the node may be granted one more place.
func (p *Pool) leastLoaded(n *node, c *claim, warm bool) (groupKey, bool) {
	var best groupKey
	found := false
	for _, key := range p.sortedGroups {
		g := p.groups[key]
		alreadyHeld := c.held[key] > c.limit[key] // the node still holds it, so no other node loses a place
		if !alreadyHeld && (g.held >= g.places || !warm) || g.places == 0 || n.avoids(key) || !g.grantable(p.waiting, p.now) {
			continue
		}
		if !found || p.load(key) < p.load(best) {
			best, found = key, true
		}
	}
	return best, found
}

// load returns the fraction of the group's places that is held.
func (p *Pool) load(key groupKey) float64 {
	g := p.groups[key]
	return float64(g.held) / float64(max(1, g.places))
}
