package allocator

import "slices"

// preferredLoadFactor limits how far above the mean number of held places a group is filled for requests that
// prefer it.
const preferredLoadFactor = 1.25

// grantPreferred grants places of the groups that waiting requests prefer. While the claim has fewer than wanted
// places, they are added to it; after that, each replaces an idle place of another group. It returns how many
// places the claim then has.
func (p *Pool) grantPreferred(n *node, c *claim, have, wanted int, warm bool) int {
	for _, preference := range c.preferred {
		key := groupKey{preference.Group, preference.Birth}
		for range preference.Count {
			if c.limit[key] >= c.running[key]+preference.Count || !p.canGrantPreferred(n, c, key, warm) {
				break
			}
			if have < wanted {
				have++
			} else if !p.revokeIdle(c, key) {
				break
			}
			c.limit[key]++
			p.setHeld(c, key, max(c.held[key], c.limit[key]))
		}
	}
	return have
}

// canGrantPreferred reports whether one more place of the group may be granted because requests prefer it.
func (p *Pool) canGrantPreferred(n *node, c *claim, key groupKey, warm bool) bool {
	g, ok := p.groups[key]
	if !ok || g.places == 0 || n.avoids(key) || !g.grantable(p.waiting, p.now) {
		return false
	}
	if c.held[key] > c.limit[key] {
		return true
	}
	return warm && g.held < g.places && float64(g.held+1) <= preferredLoadFactor*p.meanHeld()+1
}

// meanHeld returns the mean number of held places of the groups that have places.
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

// revokeIdle revokes an idle place of the most loaded group that no waiting request prefers.
func (p *Pool) revokeIdle(c *claim, except groupKey) bool {
	var best groupKey
	found := false
	for _, key := range p.sortedGroups {
		isPreferred := slices.ContainsFunc(c.preferred, func(w Places) bool { return w.Group == key.id && w.Birth == key.birth })
		if key == except || isPreferred || c.limit[key] <= c.running[key] {
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
