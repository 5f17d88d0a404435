package peer

import (
	"moorrun.dev/moorrun/internal/infra"
)

// PartSource looks up parts of the configuration by object key.
type PartSource interface {
	// Part returns the object, or false if this node does not have it.
	Part(key string) (infra.Object, bool)
}
