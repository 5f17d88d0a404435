package allocator

// totalHeld returns how many places of the group all nodes hold.
func (p *Pool) totalHeld(key groupKey) int {
	total := 0
	for _, n := range p.nodes {
		for _, c := range n.claims {
			total += c.held[key]
		}
	}
	return total
}

// releaseNode subtracts the places that the node holds from the held counts of the groups.
func (p *Pool) releaseNode(n *node) {
	for _, c := range n.claims {
		for key, held := range c.held {
			p.addHeld(key, -held)
		}
	}
}

func (p *Pool) addHeld(key groupKey, n int) {
	if g, ok := p.groups[key]; ok {
		g.held += n
	}
}

// applyReport replaces the recorded demand of the node by that of its report.
func (p *Pool) applyReport(n *node, r Report) {
	confirmed := r.Grant == n.lastGrant
	n.avoid = r.Avoid
	reported := make(map[string]bool, len(r.Workspaces))
	for _, d := range r.Workspaces {
		reported[d.Workspace] = true
		c, ok := n.claims[d.Workspace]
		if !ok {
			c = &claim{limit: make(map[groupKey]int), held: make(map[groupKey]int)}
			n.claims[d.Workspace] = c
		}
		c.waiting, c.reserve, c.spare, c.preferred = d.Waiting, d.Reserve, d.Spare, d.Preferred
		c.running = make(map[groupKey]int, len(d.Running))
		for _, places := range d.Running {
			c.running[groupKey{places.Group, places.Birth}] = places.Count
		}
		c.updateDemand()
		p.reconcile(c, confirmed)
	}
	for workspace, c := range n.claims {
		if reported[workspace] {
			continue
		}
		c.waiting, c.reserve, c.spare, c.running, c.preferred = 0, 0, 0, nil, nil
		c.updateDemand()
		p.reconcile(c, confirmed)
		if len(c.held) == 0 && len(c.limit) == 0 {
			delete(n.claims, workspace)
		}
	}
}

// reconcile updates how many places the node may be using: the limit or, if more, the running requests. Until
// the node has confirmed the last grant, the number doesn't fall.
func (p *Pool) reconcile(c *claim, confirmed bool) {
	affected := make(map[groupKey]bool, len(c.held)+len(c.running))
	for key := range c.held {
		affected[key] = true
	}
	for key := range c.running {
		affected[key] = true
	}
	for key := range affected {
		held := max(c.limit[key], c.running[key])
		if !confirmed {
			held = max(held, c.held[key])
		}
		p.setHeld(c, key, held)
	}
}

func (p *Pool) setHeld(c *claim, key groupKey, held int) {
	p.addHeld(key, held-c.held[key])
	if held == 0 {
		delete(c.held, key)
		return
	}
	c.held[key] = held
}
