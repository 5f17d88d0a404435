package admission

import (
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// Chooser reports the state of replica groups as this node has observed it.
type Chooser interface {
	// Usable reports whether routers may use the group now.
	Usable(group string, birth int64, now time.Time) bool
	// Ejected returns the model's groups that this node should not send requests to.
	Ejected(model string, now time.Time) []allocator.Ref
	// TakeSpeeds returns the times in which the model's groups served this node's requests since the last call.
	TakeSpeeds(model string, now time.Time) []allocator.Speed
}
