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
	// conversionInterval is the least time between two conversions, which end groups of one model for another.
	conversionInterval = 600 * time.Millisecond
	// highPressure is the pressure from which a model gets free endpoints before a model that is not in need.
	highPressure = 0.7
	// reservationDuration is how long the free endpoints of a domain are reserved for the model that they were freed
	// for.
	reservationDuration = 5 * time.Second
)

// reservation reserves a domain's free endpoints for one model.
type reservation struct {
	model string
	until time.Time
}

// ConversionObstacle is why no groups are ended for a model that needs more.
type ConversionObstacle string

const (
	// NoObstacle means that groups were ended, or that no model needs them.
	NoObstacle ConversionObstacle = ""
	// ConversionTooSoon means that the last conversion, or the start of the tenure, is too recent.
	ConversionTooSoon ConversionObstacle = "too_soon"
	// NoConvertibleDomain means that in no domain the members of ended groups could form a group of the model.
	NoConvertibleDomain ConversionObstacle = "no_domain"
	// DonorNeedsGroups means that the other model would lose more than the model in need would gain.
	DonorNeedsGroups ConversionObstacle = "donor_needs"
)

// convert ends groups of the model least in need if their members let a group of the model most in need form.
func (p *Planner) convert(v *View, free map[string][]*endpoint.Endpoint, have map[string]int) {
	models := p.modelsByNeed(v, have)
	p.conversionObstacle = NoObstacle
	if len(models) < 2 || !v.Busy {
		return
	}
	if v.Now.Sub(p.lastConversion) < conversionInterval || v.Now.Sub(p.started) < firstLoadDelay {
		p.conversionObstacle = ConversionTooSoon
		return
	}
	expected := p.withPendingConversions(v, have)
	c, obstacle := p.findConversion(v, free, models[0], models[len(models)-1], expected, have)
	if p.conversionObstacle = obstacle; c != nil {
		p.carryOut(v, c)
	}
}

// findConversion returns an allowed conversion from the donor to the recipient, or nil and what prevents it.
func (p *Planner) findConversion(v *View, free map[string][]*endpoint.Endpoint, recipient, donor route.Model, expected, have map[string]int) (*conversion, ConversionObstacle) {
	chosen := p.groupsToConvert(v, free, recipient, donor)
	if len(chosen) == 0 {
		return nil, NoConvertibleDomain
	}
	if c := p.newConversion(v, recipient, donor, chosen, expected, have); p.allows(c) {
		return c, NoObstacle
	}
	return nil, DonorNeedsGroups
}

// carryOut ends the donor's groups and reserves their members for the recipient.
func (p *Planner) carryOut(v *View, c *conversion) {
	p.lastConversion = v.Now
	p.reserved[c.groups[0].Domain] = reservation{c.recipient.Name, v.Now.Add(reservationDuration)}
	p.noteConversion(c)
	for _, g := range c.groups {
		p.retire(v, g.Name, g.Epoch, g.Head, "model "+c.recipient.Name+" needs its members", drainTimeout)
	}
}

// withPendingConversions adds to have the groups for which members are being freed, and drops expired reservations.
func (p *Planner) withPendingConversions(v *View, have map[string]int) map[string]int {
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

// groupsToConvert returns the smallest set of the donor's groups in one domain whose members, together with the free
// endpoints there, can form a group of the recipient.
func (p *Planner) groupsToConvert(v *View, free map[string][]*endpoint.Endpoint, recipient, donor route.Model) []*endpoint.Group {
	byDomain := make(map[string][]*endpoint.Group)
	for name, g := range v.Snapshot.Groups {
		_, ended := p.ended[name]
		if g.Service == v.Service.Name && g.Model == donor.Name && g.Head != nil && p.retiring[name] == nil && p.plans[name] == nil && !ended {
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
			if p.fit(v, members, recipient) == nil {
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
