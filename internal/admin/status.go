package admin

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/membership"
)

// status returns this node's view of the fleet. Groups, endpoints and workspaces are limited to the operator's scope.
func (s *Server) status(r *request) error {
	now := clock.Now()
	self := s.Members.Self(now)
	out := adminapi.Status{VM: self.VM, Revision: self.Revision, Checks: s.Checker.Checks(), Breaches: s.Checker.Breaches()}
	for _, m := range s.Members.All(now) {
		out.Nodes = append(out.Nodes, adminapi.Node{
			VM: m.VM, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress, AdminAddress: m.AdminAddress,
			Revision: m.Revision, Draining: m.Draining, HeardMS: now.Sub(m.Heard).Milliseconds(),
		})
	}
	drained := s.Drains.Read()
	s.addGroups(&out, r.scope, now)
	if c := s.Current(); c != nil {
		s.addVMs(&out, c, drained)
		addEndpoints(&out, c, drained, r.scope)
	}
	for _, l := range s.Admission.Waiting() {
		if r.scope.Pool || r.scope.Workspace == l.Workspace {
			out.Workspaces = append(out.Workspaces, l)
		}
	}
	return r.respond(fasthttp.StatusOK, out)
}

func (s *Server) addGroups(out *adminapi.Status, scope config.Scope, now time.Time) {
	for _, a := range s.Assignments.All() {
		for _, g := range a.Groups {
			if !scope.Pool && scope.Workspace != g.Workspace {
				continue
			}
			_, usable := s.Router.Target(g.ID, g.Birth, now)
			out.Groups = append(out.Groups, adminapi.Group{
				ID: g.ID, Domain: a.Domain, DataCentre: a.DataCentre, Workspace: g.Workspace, Model: g.Model,
				Version: g.Version, State: g.State, Usable: usable, VMs: g.VMs, Places: g.Places, Reason: g.Reason,
			})
		}
	}
	slices.SortFunc(out.Groups, func(a, b adminapi.Group) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Server) addVMs(out *adminapi.Status, c *config.Config, drained drains.Drains) {
	for _, d := range c.Domains() {
		a, _, _ := s.Assignments.Get(d.Name)
		for _, vm := range d.VMs {
			v := adminapi.VM{Name: vm.Name, Domain: d.Name, DataCentre: d.DataCentre, Drained: drained.Has(vm.Name)}
			if a != nil {
				if g := a.GroupOf(vm.Name); g != nil {
					v.Group = g.ID
				}
			}
			out.VMs = append(out.VMs, v)
		}
	}
	slices.SortFunc(out.VMs, func(a, b adminapi.VM) int { return cmp.Compare(a.Name, b.Name) })
}

func addEndpoints(out *adminapi.Status, c *config.Config, drained drains.Drains, scope config.Scope) {
	for _, name := range c.Set.Names() {
		w := c.Set[name].Workspace
		if w == nil || !scope.Covers(name) {
			continue
		}
		for _, service := range w.Services {
			for _, e := range service.Endpoints {
				out.Endpoints = append(out.Endpoints, adminapi.Endpoint{
					Name: e.Name, Workspace: w.Name, Service: service.Name, Address: e.Address, Drained: drained.Has(e.Name),
				})
			}
		}
	}
}

// inForce lists all nodes that are registered or were heard from, with the revision in force at each.
func (s *Server) inForce(r *request) error {
	now := clock.Now()
	nodes := make(map[string]adminapi.NodeRevision)
	for _, o := range s.Mirror.List(keys.Nodes) {
		var m membership.Member
		if json.Unmarshal(o.Value, &m) == nil {
			nodes[m.VM] = adminapi.NodeRevision{VM: m.VM, DataCentre: m.DataCentre}
		}
	}
	for _, m := range s.Members.All(now) {
		nodes[m.VM] = adminapi.NodeRevision{
			VM: m.VM, DataCentre: m.DataCentre, Revision: m.Revision, Live: now.Sub(m.Heard) <= membership.LiveFor,
		}
	}
	var out adminapi.InForce
	for _, n := range nodes {
		out.Nodes = append(out.Nodes, n)
	}
	slices.SortFunc(out.Nodes, func(a, b adminapi.NodeRevision) int { return cmp.Compare(a.VM, b.VM) })
	return r.respond(fasthttp.StatusOK, out)
}
