package gossip

import "time"

// Lease is what a leader's beats tell of its lease.
type Lease struct {
	Version int64         // of the lease object in the store
	Term    time.Duration // how long the lease is valid after a renewal
}
