package formation

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/route"
)

// Options configure a Controller.
type Options struct {
	Engine        Engine
	Directory     *endpoint.Directory
	Table         func() *route.Table
	WriteInterval time.Duration // interval at which endpoints write their entries
	// Lease returns the epoch of this node's leader lease and the time at which it expires; ok is false if the lease is
	// not held.
	Lease       func(now time.Time) (epoch int64, until time.Time, ok bool)
	CurrentAsOf func() time.Time                   // time as of which the directory is known to be current, apart from entries it may lack
	ListedAsOf  func() time.Time                   // time as of which the directory is known to hold everything that the store listed
	PeerTotals  func(now time.Time) *gossip.Totals // loads and suspected groups of the other nodes
	OwnStatus   func(now time.Time) gossip.Status  // loads and suspected groups of this node
	Busy        func() bool                        // whether a caller has sent a request to this node
	// MayLead reports whether this node receives the demand of the whole fleet and may become the leader. It then tracks
	// the demand, so that it knows the peak when it starts to lead. It may be nil.
	MayLead func() bool
	// AskPeers asks other nodes whether they can reach the endpoint.
	AskPeers func(ctx context.Context, e *endpoint.Endpoint) PeerEvidence
	// OnGroupsAdded is called when Retiring or Lost have gained a group; it must not block. It may be nil.
	OnGroupsAdded func()
	// OnPlanFailed is called with each plan that is given up, the number of its endpoints and the time for which it held them; it
	// must not block. It may be nil.
	OnPlanFailed func(reason PlanFailure, endpoints int, held time.Duration)
	// OnJoin is called with the outcome of each order to join and the kind of proof on which it rested; it must not block. It may be nil.
	OnJoin func(kind ProofKind, outcome Outcome)
	Logger log.Logger
}
