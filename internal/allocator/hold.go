package allocator

func (p *Pool) heldOf(key groupKey) int {
	total := 0
	for _, n := range p.nodes {
		for _, c := range n.claims {
			total += c.held[key]
		}
	}
	return total
}

func (p *Pool) release(n *node) {
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

// takeIn replaces what is known of the node by its report.
func (p *Pool) takeIn(n *node, r Report) {
	confirmed := r.Grant == n.number
	n.avoid = r.Avoid
	mentioned := make(map[string]bool, len(r.Workspaces))
	for _, d := range r.Workspaces {
		mentioned[d.Workspace] = true
		c, ok := n.claims[d.Workspace]
		if !ok {
			c = &claim{limit: make(map[groupKey]int), held: make(map[groupKey]int)}
			n.claims[d.Workspace] = c
		}
		c.waiting, c.reserve, c.spare, c.wishes = d.Waiting, d.Reserve, d.Spare, d.Wishes
		c.running = make(map[groupKey]int, len(d.Running))
		for _, places := range d.Running {
			c.running[groupKey{places.Group, places.Birth}] = places.Count
		}
		c.reckon()
		p.reconcile(c, confirmed)
	}
	for workspace, c := range n.claims {
		if mentioned[workspace] {
			continue
		}
		c.waiting, c.reserve, c.spare, c.running, c.wishes = 0, 0, 0, nil, nil
		c.reckon()
		p.reconcile(c, confirmed)
		if len(c.held) == 0 && len(c.limit) == 0 {
			delete(n.claims, workspace)
		}
	}
}

// reconcile updates what the node may hold: the confirmed limit, or what still runs beyond it.
func (p *Pool) reconcile(c *claim, confirmed bool) {
	touched := make(map[groupKey]bool, len(c.held)+len(c.running))
	for key := range c.held {
		touched[key] = true
	}
	for key := range c.running {
		touched[key] = true
	}
	for key := range touched {
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
