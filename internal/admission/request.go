package admission

import (
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// Request asks for a place.
type Request struct {
	Model     string
	Workspace string
	// Avoid names a group that has failed this request before.
	Avoid string
	// Prefer is the group that probably holds the request's prompt prefix; zero for none.
	Prefer allocator.Ref
	// PreferWait is how long it waits for that group while others have free places.
	PreferWait time.Duration
	// Priority orders the workspace's waiting requests, the highest first.
	Priority int
	// Patience is how long the request may take, waiting included.
	Patience time.Duration
}
