package gossip

import "time"

// Status is what a node says of itself in each beat.
type Status struct {
	Leaving     bool          // no new callers
	Serving     bool          // it can serve callers
	Eligible    bool          // it may lead
	LeaderEpoch int64         // while it leads, else 0
	Lease       Lease         // of the leader, while it leads
	Uptime      time.Duration // how long it has run, less what it leaves to others at the start of a large fleet
	Relay       bool          // it passes on what other nodes tell it
	Idle        bool          // it has had no requests lately: it needs no loads, and tells and is told less often
	Sequence    uint64        // of its copy of the store's objects
	Routing     uint64        // Sequence of the last change that nodes need which only route
	Full        bool          // its copy holds all endpoints, not only what is needed for routing
	Watching    bool          // its copy comes from the store itself
	ProofAt     time.Time     // its copy of the store is current as of then; zero if unknown
	Busy        int           // 1 if it has requests; of totals, how many nodes have
	Loads       Loads         // requests it has at endpoints
	Limits      RateLimits    // of endpoints
	Cold        RateLimits    // what it has sent to cold endpoints; their limit is known to all
	Suspects    map[string]time.Time
	Retiring    []string // groups that the leader is about to end
	Lost        []string // groups that the leader has found to have lost a member
	Demands     map[string]Demand
}
