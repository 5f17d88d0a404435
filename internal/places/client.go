package places

import (
	"context"
	"errors"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/peer"
)

var (
	errNoConfig     = errors.New("no configuration is in force")
	errNotAllocator = errors.New("the node asked is not the allocator of this model's places")
)

// Client implements admission.AllocatorClient: it sends reports to the node that allocates the pool.
type Client struct {
	members *membership.Table
	current func() *config.Config
	server  *Server
	caller  *peer.Caller

	mu            sync.Mutex
	lastAllocator map[string]string // model → VM and incarnation of the allocator at the last call
}

// NewClient returns a Client. Pools that this node allocates are handled by server without a call.
func NewClient(members *membership.Table, current func() *config.Config, server *Server, caller *peer.Caller) *Client {
	return &Client{members: members, current: current, server: server, caller: caller, lastAllocator: make(map[string]string)}
}

// Ask implements admission.AllocatorClient.
func (a *Client) Ask(ctx context.Context, model string, r allocator.Report) (allocator.Grant, time.Duration, bool, error) {
	now := clock.Now()
	c := a.current()
	if c == nil {
		return allocator.Grant{}, 0, false, errNoConfig
	}
	self := a.members.Self(now)
	r.VM, r.Incarnation = self.VM, self.Incarnation
	list := rankedNodes(model, a.members, c, now)
	if len(list) == 0 {
		list = []membership.Member{self}
	}
	to := list[0]
	changed := a.allocatorChanged(model, to)
	if changed {
		r.Grant = 0
	}
	if to.VM == self.VM {
		return a.server.report(model, r, c, now), allocator.GrantLifetime, changed, nil
	}
	request := reportToWire(model, r)
	reply, err := a.caller.Demand(ctx, to.PeerAddress, request)
	if err != nil {
		return allocator.Grant{}, 0, changed, err
	}
	if reply.NotAllocator {
		return allocator.Grant{}, 0, changed, errNotAllocator
	}
	return grantFromWire(reply), allocator.GrantLifetime, changed, nil
}

// allocatorChanged reports whether the model's allocator is another one than at the last call.
func (a *Client) allocatorChanged(model string, to membership.Member) bool {
	id := to.VM + "/" + to.Incarnation
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.lastAllocator[model] != id
	a.lastAllocator[model] = id
	return changed
}
