package formation

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// FreeReason is why a listed endpoint is in no group and in no plan.
type FreeReason string

const (
	// FreeEmpty means that the endpoint has no model and waits for a load.
	FreeEmpty FreeReason = "empty"
	// FreeLoading means that a model is being loaded onto its host.
	FreeLoading FreeReason = "loading"
	// FreeIncomplete means that its domain lacks members for a group of its model that is in need.
	FreeIncomplete FreeReason = "incomplete"
	// FreeReserved means that the free endpoints of its domain are reserved for a conversion.
	FreeReserved FreeReason = "reserved"
	// FreeUnreachable means that its last probe failed.
	FreeUnreachable FreeReason = "unreachable"
	// FreeEnding means that its group has just ended.
	FreeEnding FreeReason = "ending"
	// FreeNotNeeded means that none of its models is in need.
	FreeNotNeeded FreeReason = "not_needed"
	// FreeWithheld means that its domain has the members for a group of a model in need, which is not formed because it
	// would cost another model more, or because the endpoints are left to a model under higher pressure.
	FreeWithheld FreeReason = "withheld"
)

// FreeReasons lists all reasons.
var FreeReasons = []FreeReason{FreeEmpty, FreeLoading, FreeIncomplete, FreeReserved, FreeUnreachable, FreeEnding, FreeNotNeeded, FreeWithheld}

// freeReasons counts the free endpoints by reason.
func (p *Planner) freeReasons(v *View) map[FreeReason]int {
	out := make(map[FreeReason]int, len(FreeReasons))
	needed := p.modelsInNeed(v)
	ready := p.readyByDomain(v, needed)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if p.isUnassigned(e) {
			out[p.freeReason(v, e, needed, ready)]++
		}
	}
	return out
}

// isUnassigned reports whether the endpoint is in no group and no plan and does not leave. In contrast to isFree, it does
// not matter whether the endpoint answers.
func (p *Planner) isUnassigned(e *endpoint.Endpoint) bool {
	if e.Draining || p.commitments.contains(e.ID) {
		return false
	}
	return p.hasNoGroup(e)
}

// modelsInNeed returns the models that need more groups.
func (p *Planner) modelsInNeed(v *View) []route.Model {
	have := p.assignedEndpoints(v)
	var out []route.Model
	for _, m := range v.Service.Engine.Models {
		if p.pressure(v, m, have) >= lowPressure {
			out = append(out, m)
		}
	}
	return out
}

// readyByDomain counts the free endpoints that could join a group of each of the models without a load from the weight
// store, by domain and model.
func (p *Planner) readyByDomain(v *View, models []route.Model) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if !p.isFree(v, e) {
			continue
		}
		for _, m := range models {
			if p.isReadyFor(e, m) {
				addCount(out, e.Domain, m.Name, 1)
			}
		}
	}
	return out
}

// isReadyFor reports whether the endpoint could join a group of the model without a load from the weight store.
func (p *Planner) isReadyFor(e *endpoint.Endpoint, m route.Model) bool {
	return e.HasLoaded(m.Name) || e.HasStaged(m.Name) && !p.isLoading(e)
}

// freeReason returns why an unassigned endpoint is free. The reasons that lie with the endpoint itself come first.
func (p *Planner) freeReason(v *View, e *endpoint.Endpoint, needed []route.Model, ready map[string]map[string]int) FreeReason {
	r, reserved := p.reserved[e.Domain]
	switch {
	case !v.Contacts[e.ID].FailedSince.IsZero() || v.isDown(e.ID):
		return FreeUnreachable
	case e.Membership != nil && v.Now.Sub(p.ended[e.Membership.Group].at) < staleMemberDelay:
		return FreeEnding
	case p.isLoading(e):
		return FreeLoading
	case len(e.Models)+len(e.Staged) == 0:
		return FreeEmpty
	case reserved && v.Now.Before(r.until):
		return FreeReserved
	}
	reason := FreeNotNeeded
	for _, m := range needed {
		if !p.isReadyFor(e, m) {
			continue
		}
		if ready[e.Domain][m.Name] >= m.Size {
			return FreeWithheld
		}
		reason = FreeIncomplete
	}
	return reason
}
