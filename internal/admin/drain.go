package admin

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/drains"
)

// drain takes a VM or endpoint out of use or back into use.
func (s *Server) drain(r *request) error {
	var in adminapi.DrainRequest
	if err := json.Unmarshal(r.ctx.PostBody(), &in); err != nil {
		return r.refuse(fasthttp.StatusBadRequest, "the body is no drain request: "+err.Error())
	}
	if !s.known(in.Name, r.scope) {
		return r.refuse(fasthttp.StatusNotFound, "there is no VM or endpoint "+in.Name+" that this credential may drain")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), writeTimeout)
	defer cancel()
	if err := drains.Set(ctx, s.Objects, in.Name, r.operator(), in.Operation, in.Drained); err != nil {
		return err
	}
	return r.answer(fasthttp.StatusOK, in)
}

// known reports whether name is an entry VM, an engine VM or an endpoint within the scope.
func (s *Server) known(name string, scope config.Scope) bool {
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
	var endpoints adminapi.Status
	addEndpoints(&endpoints, c, drains.Drains{}, scope)
	for _, e := range endpoints.Endpoints {
		if e.Name == name {
			return true
		}
	}
	return false
}
