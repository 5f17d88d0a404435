package gossip

import "time"

// Lease is what a leader tells of its lease.
type Lease struct {
	Version int64 // in the store
	Term    time.Duration
}
