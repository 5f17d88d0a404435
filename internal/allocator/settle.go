package allocator

// settle moves the claim's limits towards wanted places.
func (p *Pool) settle(n *node, c *claim, wanted int, warm bool) {
	have := 0
	for key, limit := range c.limit {
		g, ok := p.groups[key]
		if ok && !g.open(p.waiting, p.now) {
			have += c.running[key] // they end, and are not used again
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
	have = p.favour(n, c, min(have, wanted), wanted, warm)
	if have < wanted {
		p.grow(n, c, wanted-have, warm)
	}
	for key, limit := range c.limit {
		p.setHeld(c, key, max(c.held[key], limit))
	}
}

// shrink takes idle places back first, from the fullest groups; then places that will fall idle.
func (p *Pool) shrink(c *claim, n int) {
	for _, idleOnly := range []bool{true, false} {
		for n > 0 {
			key, ok := p.fullest(c, idleOnly)
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

func (p *Pool) fullest(c *claim, idleOnly bool) (groupKey, bool) {
	var best groupKey
	found := false
	for _, key := range p.order {
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

// grow grants free places of the emptiest groups.
func (p *Pool) grow(n *node, c *claim, more int, warm bool) {
	for ; more > 0; more-- {
		key, ok := p.emptiest(n, c, warm)
		if !ok {
			return
		}
		c.limit[key]++
		if c.limit[key] > c.held[key] {
			p.setHeld(c, key, c.limit[key])
		}
	}
}

func (p *Pool) emptiest(n *node, c *claim, warm bool) (groupKey, bool) {
	var best groupKey
	found := false
	for _, key := range p.order {
		g := p.groups[key]
		ours := c.held[key] > c.limit[key] // held already: granting it again costs nobody
		if !ours && (g.held >= g.places || !warm) || g.places == 0 || n.avoids(key) || !g.open(p.waiting, p.now) {
			continue
		}
		if !found || p.load(key) < p.load(best) {
			best, found = key, true
		}
	}
	return best, found
}

// load is the held part of a group's places.
func (p *Pool) load(key groupKey) float64 {
	g := p.groups[key]
	return float64(g.held) / float64(max(1, g.places))
}
