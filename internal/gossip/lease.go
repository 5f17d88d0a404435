package gossip

import "time"

// Lease is the state of a leader's lease, as sent in its heartbeats.
type Lease struct {
	Version int64         // of the lease object in the store
	Term    time.Duration // how long the lease is valid after a renewal
}
