package replica

import (
	"cmp"
	"maps"
	"slices"

	"moorrun.dev/moorrun/internal/config"
)

// Placement says which domains should add or drop groups. Every lease holder works it out from the
// same objects, so at most one of them acts on a missing group, except while their copies differ;
// a group formed too many is dropped by the same rule.
type Placement struct {
	Add  map[string][]string // domain → models, the most deserving first
	Drop map[string][]string // domain → group ids
}

// Demand is how many requests wait for each model.
type Demand map[string]int

// Place decides from the assignments of all domains of a region.
func Place(c *config.Config, assignments []*Assignment, demand Demand) Placement {
	p := newPlacer(c, assignments, demand)
	p.fill(func(m config.ModelOf) int { return m.Replicas.Min })
	p.reclaim()
	p.fill(func(m config.ModelOf) int { return m.Replicas.Max })
	p.trim()
	return p.out
}

type placer struct {
	config *config.Config
	demand Demand
	free   map[string]int      // domain → free VMs
	groups map[string][]*Group // model → groups not draining
	domain map[string]string   // group id → domain
	used   map[string]int      // workspace → VMs
	count  map[string]int      // model → groups, planned ones included
	unmet  []string            // models below their minimum without room
	models []string
	out    Placement
}

func newPlacer(c *config.Config, assignments []*Assignment, demand Demand) *placer {
	p := &placer{
		config: c, demand: demand, free: make(map[string]int), groups: make(map[string][]*Group),
		domain: make(map[string]string), used: make(map[string]int), count: make(map[string]int),
		models: slices.Sorted(maps.Keys(c.Models())),
		out:    Placement{Add: make(map[string][]string), Drop: make(map[string][]string)},
	}
	for _, a := range assignments {
		p.free[a.Domain] = a.Free
		for _, g := range a.Groups {
			p.domain[g.ID] = a.Domain
			p.used[g.Workspace] += len(g.VMs)
			if g.State != Draining {
				p.groups[g.Model] = append(p.groups[g.Model], g)
				p.count[g.Model]++
			}
		}
	}
	return p
}

// fill adds one group after the other, each for the workspace furthest below its share.
func (p *placer) fill(target func(config.ModelOf) int) {
	p.unmet = p.unmet[:0]
	full := make(map[string]bool)
	for {
		name := p.neediest(target, full)
		if name == "" {
			return
		}
		m := p.config.Models()[name]
		domain := p.roomiest(m.VMsPerReplica)
		if domain == "" {
			full[name] = true
			p.unmet = append(p.unmet, name)
			continue
		}
		p.free[domain] -= m.VMsPerReplica
		p.used[m.Workspace] += m.VMsPerReplica
		p.count[name]++
		p.out.Add[domain] = append(p.out.Add[domain], name)
	}
}

func (p *placer) neediest(target func(config.ModelOf) int, full map[string]bool) string {
	best := ""
	for _, name := range p.models {
		m := p.config.Models()[name]
		if full[name] || p.count[name] >= target(m) {
			continue
		}
		if best == "" || p.before(name, best) {
			best = name
		}
	}
	return best
}

// before reports whether model a deserves the next group more than b: waiting requests first, then
// the workspace with fewer VMs for its share.
func (p *placer) before(a, b string) bool {
	if wa, wb := p.demand[a] > 0, p.demand[b] > 0; wa != wb {
		return wa
	}
	ma, mb := p.config.Models()[a], p.config.Models()[b]
	la := p.used[ma.Workspace] * p.config.Share(mb.Workspace)
	lb := p.used[mb.Workspace] * p.config.Share(ma.Workspace)
	if la != lb {
		return la < lb
	}
	return p.count[a] < p.count[b]
}

func (p *placer) roomiest(vms int) string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(p.free)) {
		if p.free[name] >= vms && (best == "" || p.free[name] > p.free[best]) {
			best = name
		}
	}
	return best
}

// reclaim drops a lent group for each model that is below its minimum without room.
func (p *placer) reclaim() {
	for _, name := range p.unmet {
		m := p.config.Models()[name]
		for _, other := range p.models {
			o := p.config.Models()[other]
			if p.count[other] <= o.Replicas.Min || o.VMsPerReplica < m.VMsPerReplica || len(p.groups[other]) == 0 {
				continue
			}
			p.dropLast(other)
			break
		}
	}
}

// trim drops the groups above a model's maximum. A group formed to take an outdated one's place
// counts only once it serves.
func (p *placer) trim() {
	for _, name := range p.models {
		limit := p.config.Models()[name].Replicas.Max
		for p.count[name] > limit && len(p.groups[name]) > 0 {
			if p.outdated(name) && p.serving(name) <= limit {
				break
			}
			p.dropLast(name)
		}
	}
}

func (p *placer) outdated(model string) bool {
	m := p.config.Models()[model]
	return slices.ContainsFunc(p.groups[model], func(g *Group) bool { return !g.current(m.Model) })
}

func (p *placer) serving(model string) int {
	n := 0
	for _, g := range p.groups[model] {
		if g.State == Serving {
			n++
		}
	}
	return n
}

func (p *placer) dropLast(model string) {
	list := p.groups[model]
	m := p.config.Models()[model]
	slices.SortFunc(list, func(a, b *Group) int {
		if ra, rb := dropRank(a, m.Model), dropRank(b, m.Model); ra != rb {
			return cmp.Compare(ra, rb)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	g := list[len(list)-1]
	p.groups[model] = list[:len(list)-1]
	p.count[model]--
	domain := p.domain[g.ID]
	p.out.Drop[domain] = append(p.out.Drop[domain], g.ID)
}

// dropRank puts the groups that cost least to drop last.
func dropRank(g *Group, m config.Model) int {
	switch {
	case g.State == Serving && g.current(m):
		return 0
	case g.State == Serving:
		return 1
	default:
		return 2
	}
}
