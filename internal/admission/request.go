package admission

import (
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// Request describes a request that needs a place.
type Request struct {
	Model     string
	Workspace string
	// Avoid is the ID of a group on which this request has failed; empty for none.
	Avoid string
	// Prefer is the group that probably has the request's prompt prefix cached; zero for none.
	Prefer allocator.Ref
	// PreferWait is how long the request waits for that group while other groups have free places.
	PreferWait time.Duration
	// Priority orders the waiting requests of a workspace; the highest goes first.
	Priority int
	// Timeout is how long the request may take, including the wait for a place.
	Timeout time.Duration
}
