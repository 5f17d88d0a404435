package peer

import (
	"context"

	"moorrun.dev/moorrun/internal/peer/peerpb"
)

// Allocator answers demand for places.
type Allocator interface {
	// Demand takes in a node's demand for a model and returns what it is granted.
	Demand(ctx context.Context, request *peerpb.DemandRequest) *peerpb.DemandReply
}
