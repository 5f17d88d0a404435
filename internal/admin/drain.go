package admin

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/drains"
)

// drain takes a VM or endpoint out of use or back into use. The call to the store is not
// cancelled by a shutdown of the server.
func (s *Server) drain(r *request) error {
	var in adminapi.DrainRequest
	if err := json.Unmarshal(r.ctx.PostBody(), &in); err != nil {
		return r.respondError(fasthttp.StatusBadRequest, "the body is no drain request: "+err.Error())
	}
	if !s.mayDrain(in.Name, r.scope) {
		return r.respondError(fasthttp.StatusNotFound, "there is no VM or endpoint "+in.Name+" that this credential may drain")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), storeTimeout)
	defer cancel()
	if err := drains.Set(ctx, s.Objects, in.Name, r.operator(), in.Operation, in.Drained); err != nil {
		return err
	}
	return r.respond(fasthttp.StatusOK, in)
}

// mayDrain reports whether name is an entry VM, an engine VM or an endpoint within the scope.
func (s *Server) mayDrain(name string, scope config.Scope) bool {
	if _, ok := s.Members.Get(name); ok && scope.Pool {
		return true
	}
	c := s.Current()
	if c == nil {
		return false
	}
	for _, d := range c.Domains() {
		for _, vm := range d.VMs {
			if vm.Name == name && scope.Pool {
				return true
			}
		}
	}
	var status adminapi.Status
	addEndpoints(&status, c, drains.Drains{}, scope)
	for _, e := range status.Endpoints {
		if e.Name == name {
			return true
		}
	}
	return false
}
