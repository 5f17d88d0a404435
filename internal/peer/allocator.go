package peer

import (
	"context"

	"moorrun.dev/moorrun/internal/peer/peerpb"
)

// Allocator grants places, which are request slots on model engines, to the nodes that ask for them.
type Allocator interface {
	// Demand records a node's demand for a model and returns the places granted to that node.
	Demand(ctx context.Context, request *peerpb.DemandRequest) *peerpb.DemandReply
}
