package admission

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// Asker sends a node's demand for a model to whoever allocates its places.
type Asker interface {
	// Ask returns the grant. changed says that another allocator than before has answered.
	Ask(ctx context.Context, model string, r allocator.Report) (g allocator.Grant, lifetime time.Duration, changed bool, err error)
}
