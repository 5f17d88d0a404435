package admin

import (
	"slices"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/clock"
)

// burn returns this node's counts. The command line queries every node and merges them.
func (s *Server) burn(r *request) error {
	self := s.Members.Self(clock.Now())
	out := burn.NodeCounts{
		VM: self.VM, Incarnation: self.Incarnation, UptimeS: int64(clock.Since(s.started).Seconds()),
		Services: s.Burn.Snapshot(), Losses: s.Losses(),
	}
	if !r.scope.Pool {
		out.Services = slices.DeleteFunc(out.Services, func(c burn.ServiceCounts) bool { return c.Workspace != r.scope.Workspace })
		out.Losses = slices.DeleteFunc(out.Losses, func(l burn.GroupLosses) bool { return l.Workspace != r.scope.Workspace })
	}
	return r.respond(fasthttp.StatusOK, out)
}
