package admission

import (
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// Chooser knows what this node has seen of replica groups.
type Chooser interface {
	// Usable reports whether routers may use the group now.
	Usable(group string, birth int64, now time.Time) bool
	// Ejected returns the model's groups that this node should leave alone.
	Ejected(model string, now time.Time) []allocator.Ref
	// TakeSpeeds returns how quickly the model's groups have served this node's requests since the last call.
	TakeSpeeds(model string, now time.Time) []allocator.Speed
}
