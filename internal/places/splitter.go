package places

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/membership"
)

// Splitter implements admission.AllocatorClient without calls to other nodes: each node takes an equal part of
// every group's places and divides it by shares on its own. It is the baseline with which Client is compared.
type Splitter struct {
	members *membership.Table
	current func() *config.Config
	server  *Server
}

// NewSplitter returns a Splitter. Nothing else may use server.
func NewSplitter(members *membership.Table, current func() *config.Config, server *Server) *Splitter {
	return &Splitter{members, current, server}
}

// Ask implements admission.AllocatorClient.
func (s *Splitter) Ask(_ context.Context, model string, r allocator.Report) (allocator.Grant, time.Duration, bool, error) {
	now := clock.Now()
	c := s.current()
	if c == nil {
		return allocator.Grant{}, 0, false, errNoConfig
	}
	nodes := max(1, len(rankedNodes(model, s.members, c, now)))
	r.VM = s.members.Self(now).VM
	groups := func() []allocator.Group {
		out := s.server.groups(model, now)
		for i := range out {
			out[i].Places = max(1, out[i].Places/nodes)
		}
		return out
	}
	return s.server.reportToPool(model, groups, r, c, 1, now), allocator.GrantLifetime, false, nil
}
