package admission

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// AllocatorClient sends a node's demand for a model to the node that allocates the model's places.
type AllocatorClient interface {
	// Ask sends the report and returns the grant; lifetime is how long after the report it may be used. changed
	// reports whether the model's allocator is another one than at the last call.
	Ask(ctx context.Context, model string, r allocator.Report) (g allocator.Grant, lifetime time.Duration, changed bool, err error)
}
