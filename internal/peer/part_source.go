package peer

import (
	"moorrun.dev/moorrun/internal/infra"
)

// PartSource finds parts of the configuration by object key.
type PartSource interface {
	// Part returns the object, and false when it is not held here.
	Part(key string) (infra.Object, bool)
}
