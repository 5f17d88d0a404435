package formation

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// Cause is why an endpoint does not serve a model.
type Cause string

const (
	// CauseJoining means that the endpoint is in a plan for a group of the model.
	CauseJoining Cause = "joining"
	// CauseEnding means that its group is being ended, or has no head that is listed.
	CauseEnding Cause = "ending"
	// CauseConvertible means that it serves another model, or joins a group of it, and has a copy of this one.
	CauseConvertible Cause = "convertible"
	// CauseOtherModel means that it serves another model, or joins a group of it, and has no copy of this one.
	CauseOtherModel Cause = "other_model"
	// CauseNoCopy means that it is free, has no copy of the model and is not being given one.
	CauseNoCopy Cause = "no_copy"
	// CauseUnreachable means that it does not answer.
	CauseUnreachable Cause = "unreachable"
	// CauseLoading means that a model is being loaded onto its host, which it would have to wait for.
	CauseLoading Cause = "loading"
	// CauseIncomplete means that it is free and has a copy, and that its domain lacks members.
	CauseIncomplete Cause = "incomplete"
	// CauseNotPlanned means that its domain has the members for a group, which is not planned: the domain is reserved for another
	// model, the group would cost another model more, or the model needs none.
	CauseNotPlanned Cause = "not_planned"
)

// Causes lists all causes.
var Causes = []Cause{CauseJoining, CauseEnding, CauseConvertible, CauseOtherModel, CauseNoCopy, CauseUnreachable, CauseLoading, CauseIncomplete, CauseNotPlanned}

// Shortage is what keeps endpoints from serving a model.
type Shortage struct {
	Service, Model string
	Possible       int           // replica groups that all endpoints with a copy could form
	Endpoints      map[Cause]int // endpoints that do not serve the model
}

// shortage counts the endpoints of the service that do not serve the model, each under one cause.
func (p *Planner) shortage(v *View, m route.Model) Shortage {
	out := Shortage{Service: v.Service.Name, Model: m.Name, Possible: p.countCopies(v).maxGroups(m), Endpoints: make(map[Cause]int, len(Causes))}
	ready := p.readyByDomain(v, []route.Model{m})
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if cause := p.cause(v, e, m, ready); cause != "" {
			out.Endpoints[cause]++
		}
	}
	return out
}

// cause returns why the endpoint does not serve the model, or "" if it does, or leaves.
func (p *Planner) cause(v *View, e *endpoint.Endpoint, m route.Model, ready map[string]map[string]int) Cause {
	if e.Draining {
		return ""
	}
	if pl := p.commitments.planByMember[e.ID]; pl != nil {
		return busyCause(e, m, pl.model == m.Name, CauseJoining)
	}
	if !p.isUnassigned(e) {
		if e.Membership == nil {
			return CauseEnding // the head of a group that is being ended
		}
		if g := v.Snapshot.Groups[e.Membership.Group]; g == nil || g.Head == nil || p.retiring[g.Name] != nil {
			return CauseEnding
		}
		return busyCause(e, m, e.HasLoaded(m.Name), "")
	}
	switch {
	case v.unansweredFor(e.ID) > 0 || v.isDown(e.ID):
		return CauseUnreachable
	case p.isLoading(e) && !e.HasLoaded(m.Name):
		return CauseLoading
	case !hasCopy(e, m):
		return CauseNoCopy
	case ready[e.Domain][m.Name] >= m.Size:
		return CauseNotPlanned
	default:
		return CauseIncomplete
	}
}

// busyCause returns the cause of an endpoint in a group or plan. It returns own if the group or plan is for the model itself.
func busyCause(e *endpoint.Endpoint, m route.Model, isForModel bool, own Cause) Cause {
	switch {
	case isForModel:
		return own
	case e.HasStaged(m.Name):
		return CauseConvertible
	default:
		return CauseOtherModel
	}
}
