package allocator

import "slices"

// favourPart is how far above the mean a group may be filled for requests that prefer it.
const favourPart = 1.25

// favour grants places of the groups that waiting requests prefer, in place of idle ones of other groups or
// beyond them up to wanted, and returns how many places the claim then has.
func (p *Pool) favour(n *node, c *claim, have, wanted int, warm bool) int {
	for _, wish := range c.wishes {
		key := groupKey{wish.Group, wish.Birth}
		for range wish.Count {
			if c.limit[key] >= c.running[key]+wish.Count || !p.mayFavour(n, c, key, warm) {
				break
			}
			if have < wanted {
				have++
			} else if !p.giveUpIdle(c, key) {
				break
			}
			c.limit[key]++
			p.setHeld(c, key, max(c.held[key], c.limit[key]))
		}
	}
	return have
}

// mayFavour reports whether one more place of the group may be granted out of turn.
func (p *Pool) mayFavour(n *node, c *claim, key groupKey, warm bool) bool {
	g, ok := p.groups[key]
	if !ok || g.places == 0 || n.avoids(key) || !g.open(p.waiting, p.now) {
		return false
	}
	if c.held[key] > c.limit[key] {
		return true
	}
	return warm && g.held < g.places && float64(g.held+1) <= favourPart*p.meanHeld()+1
}

func (p *Pool) meanHeld() float64 {
	total, groups := 0, 0
	for _, g := range p.groups {
		if g.places > 0 {
			total += g.held
			groups++
		}
	}
	return float64(total) / float64(max(1, groups))
}

// giveUpIdle takes back an idle place of the fullest group that no waiting request prefers.
func (p *Pool) giveUpIdle(c *claim, except groupKey) bool {
	var best groupKey
	found := false
	for _, key := range p.order {
		wished := slices.ContainsFunc(c.wishes, func(w Places) bool { return w.Group == key.id && w.Birth == key.birth })
		if key == except || wished || c.limit[key] <= c.running[key] {
			continue
		}
		if !found || p.load(key) > p.load(best) {
			best, found = key, true
		}
	}
	if !found {
		return false
	}
	c.limit[best]--
	if c.limit[best] == 0 {
		delete(c.limit, best)
	}
	return true
}
