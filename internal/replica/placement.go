package replica

import (
	"cmp"
	"maps"
	"slices"

	"moorrun.dev/moorrun/internal/config"
)

// Placement lists the groups that each domain should add or drop. Every lease holder computes it from the same
// objects, so only one of them adds a missing group, except while their copies differ. A surplus group formed in
// that case is dropped by the same computation.
type Placement struct {
	Add  map[string][]string // domain → models, highest priority first
	Drop map[string][]string // domain → group ids
}

// Demand maps a model to its number of waiting requests.
type Demand map[string]int

// Place computes the placement from the assignments of all domains of a region.
func Place(c *config.Config, assignments []*Assignment, demand Demand) Placement {
	p := newPlacer(c, assignments, demand)
	p.addGroups(func(m config.ModelOf) int { return m.Replicas.Min })
	p.reclaim()
	p.addGroups(func(m config.ModelOf) int { return m.Replicas.Max })
	p.dropExcess()
	return p.out
}

type placer struct {
	config      *config.Config
	demand      Demand
	free        map[string]int      // domain → free VMs
	groups      map[string][]*Group // model → groups that are not draining
	domain      map[string]string   // group id → domain
	used        map[string]int      // workspace → VMs in its groups, planned ones included
	count       map[string]int      // model → number of groups that are not draining, planned ones included
	withoutRoom []string            // models below their target for which no domain has enough free VMs
	models      []string
	out         Placement
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

// addGroups adds groups one at a time, in the order given by hasPriority, until each model has reached its target
// or no domain has room for it.
func (p *placer) addGroups(target func(config.ModelOf) int) {
	p.withoutRoom = p.withoutRoom[:0]
	full := make(map[string]bool)
	for {
		name := p.nextModel(target, full)
		if name == "" {
			return
		}
		m := p.config.Models()[name]
		domain := p.domainWithMostFree(m.VMsPerReplica)
		if domain == "" {
			full[name] = true
			p.withoutRoom = append(p.withoutRoom, name)
			continue
		}
		p.free[domain] -= m.VMsPerReplica
		p.used[m.Workspace] += m.VMsPerReplica
		p.count[name]++
		p.out.Add[domain] = append(p.out.Add[domain], name)
	}
}

func (p *placer) nextModel(target func(config.ModelOf) int, full map[string]bool) string {
	best := ""
	for _, name := range p.models {
		m := p.config.Models()[name]
		if full[name] || p.count[name] >= target(m) {
			continue
		}
		if best == "" || p.hasPriority(name, best) {
			best = name
		}
	}
	return best
}

// hasPriority reports whether model a gets the next group before b: models with waiting requests first, then
// those of the workspace with fewer VMs relative to its share, then those with fewer groups.
func (p *placer) hasPriority(a, b string) bool {
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

func (p *placer) domainWithMostFree(vms int) string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(p.free)) {
		if p.free[name] >= vms && (best == "" || p.free[name] > p.free[best]) {
			best = name
		}
	}
	return best
}

// reclaim drops, for each model below its minimum without room, one group of a model that is above its own
// minimum and whose groups have at least as many VMs.
func (p *placer) reclaim() {
	for _, name := range p.withoutRoom {
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

// dropExcess drops the groups above a model's maximum. While a model has outdated groups, a replacement counts
// only once it serves.
func (p *placer) dropExcess() {
	for _, name := range p.models {
		limit := p.config.Models()[name].Replicas.Max
		for p.count[name] > limit && len(p.groups[name]) > 0 {
			if p.hasOutdated(name) && p.servingCount(name) <= limit {
				break
			}
			p.dropLast(name)
		}
	}
}

func (p *placer) hasOutdated(model string) bool {
	m := p.config.Models()[model]
	return slices.ContainsFunc(p.groups[model], func(g *Group) bool { return !g.current(m.Model) })
}

func (p *placer) servingCount(model string) int {
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

// dropRank returns the sort rank of a group; groups that cost least to drop have the highest rank.
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
