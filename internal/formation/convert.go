package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

const (
	// convertEvery is the least time between two conversions.
	convertEvery = 600 * time.Millisecond
	// pressed is the pressure from which a model gets free endpoints before one that is in no need.
	pressed = 0.7
	// spareBelow is the pressure that the other model may have without those groups.
	spareBelow = 0.8
	// strained is the pressure from which a model gets the members of another one's groups, and relief the part of it
	// that the other one's may reach without them. Where both are strained a group moved to and fro serves neither
	// for two seconds each time. The other one may reach more as long as it stays the less pressed of both: where fifteen
	// members of a group of sixteen have lost the last, four endpoints of the other model make them serve again.
	strained = 0.55
	relief   = 0.75
	// reserveFor is how long the members of a domain are kept for the model that they are freed for.
	reserveFor = 5 * time.Second
)

// reservation keeps a domain's free endpoints for one model.
type reservation struct {
	model string
	until time.Time
}

// convert ends groups of the model that is least in need, where their members let one of the most needed form.
func (p *Planner) convert(v *View, free map[string][]*endpoint.Endpoint, have map[string]int) {
	models := p.byNeed(v, have)
	if len(models) < 2 || !v.Busy || v.Now.Sub(p.converted) < convertEvery || v.Now.Sub(p.started) < settle {
		return
	}
	needed, rich := models[0], models[len(models)-1]
	coming := p.withReserved(v, have)
	need := p.pressure(v, needed, coming)
	if need < strained {
		return
	}
	victims := p.victims(v, free, needed, rich)
	if len(victims) == 0 {
		return
	}
	given := len(victims) * rich.Size
	left := p.pressure(v, rich, map[string]int{rich.Name: have[rich.Name] - given})
	gained := max(1, given/needed.Size) * needed.Size
	eased := p.pressure(v, needed, map[string]int{needed.Name: coming[needed.Name] + gained})
	if left > min(spareBelow, max(relief*need, eased)) {
		return
	}
	p.converted = v.Now
	p.reserved[victims[0].Domain] = reservation{needed.Name, v.Now.Add(reserveFor)}
	for _, g := range victims {
		p.retire(v, g.Name, g.Epoch, g.Head, "model "+needed.Name+" needs its members", finishFor)
	}
}

// withReserved counts in the groups for which members are being freed.
func (p *Planner) withReserved(v *View, have map[string]int) map[string]int {
	out := maps.Clone(have)
	for domain, r := range p.reserved {
		if v.Now.After(r.until) {
			delete(p.reserved, domain)
			continue
		}
		m, _ := v.Service.Engine.Model(r.model)
		out[r.model] += m.Size
	}
	return out
}

// victims returns the fewest groups of one domain whose members, with those that are free there, can form a group.
func (p *Planner) victims(v *View, free map[string][]*endpoint.Endpoint, needed, rich route.Model) []*endpoint.Group {
	byDomain := make(map[string][]*endpoint.Group)
	for name, g := range v.Snapshot.Groups {
		_, ended := p.ended[name]
		if g.Service == v.Service.Name && g.Model == rich.Name && g.Head != nil && p.retiring[name] == nil && p.plans[name] == nil && !ended {
			byDomain[g.Domain] = append(byDomain[g.Domain], g)
		}
	}
	var best []*endpoint.Group
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		groups := byDomain[domain]
		if _, reserved := p.reserved[domain]; reserved {
			continue
		}
		slices.SortFunc(groups, func(a, b *endpoint.Group) int {
			return cmp.Or(cmp.Compare(v.Loads[a.Head.ID], v.Loads[b.Head.ID]), cmp.Compare(a.Name, b.Name))
		})
		members := slices.Clone(free[domain])
		for i, g := range groups {
			for _, e := range g.Members {
				members = append(members, e)
			}
			if p.fit(v, members, needed) == nil {
				continue
			}
			if best == nil || i+1 < len(best) {
				best = groups[:i+1]
			}
			break
		}
	}
	return best
}
