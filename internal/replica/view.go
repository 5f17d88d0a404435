package replica

import (
	"time"

	"moorrun.dev/moorrun/internal/config"
)

// View is everything a plan for one fabric domain is made from.
type View struct {
	Now    time.Time
	Domain config.Domain
	Models map[string]config.ModelOf
	VMs    map[string]VMView
	Prices config.Prices
	// Add lists the models that should get one more group here, the most deserving first.
	Add []string
	// Drop lists the ids of groups whose model has more than it may keep.
	Drop []string
	// MayRoll reports whether that outdated group may be taken out for a new version now; nil: yes.
	MayRoll func(g *Group) bool
	// Loads is how many VM loads the weight store's rate allows now.
	Loads int
}
