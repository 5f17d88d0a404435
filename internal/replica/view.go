package replica

import (
	"time"

	"moorrun.dev/moorrun/internal/config"
)

// View is the planner's input for one fabric domain.
type View struct {
	Now    time.Time
	Domain config.Domain
	Models map[string]config.ModelOf
	VMs    map[string]VMView
	Prices config.Prices
	// Add lists the models that should each get one more group in this domain, highest priority first.
	Add []string
	// Drop lists the ids of groups to drain because their model has more groups than it may keep.
	Drop []string
	// MayRoll reports whether the outdated group g may be drained for a new version now; nil allows every group.
	MayRoll func(g *Group) bool
	// Loads is the number of VMs that may start loading weights now under the weight store's rate limit.
	Loads int
}
