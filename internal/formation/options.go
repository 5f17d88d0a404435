package formation

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/route"
)

// Options are what a Controller works with.
type Options struct {
	Engine    Engine
	Directory *endpoint.Directory
	Table     func() *route.Table
	Beat      time.Duration // how often endpoints write their entries
	Lease     func(now time.Time) (epoch int64, until time.Time, ok bool)
	Current   func() time.Time                   // the directory was certainly current then, as far as it goes
	Listed    func() time.Time                   // it held certainly all that the store listed then
	Others    func(now time.Time) *gossip.Totals // loads and doubts of the other nodes
	Own       func(now time.Time) gossip.Status  // this node's own loads and doubts
	Busy      func() bool                        // a caller has sent a request to this node
	// Heard asks the other nodes whether they hear the endpoint.
	Heard func(ctx context.Context, e *endpoint.Endpoint) bool
	// Told is called when Retiring or Lost have gained a group; it must not block. Nil if nobody needs to know at once.
	Told   func()
	Logger log.Logger
}
