package gossip

import "time"

// Status is the state of a node that it sends in each beat. In a relay's beats some fields are the totals of several nodes.
type Status struct {
	Leaving     bool                 // it is shutting down and accepts no new callers
	Serving     bool                 // it can serve callers
	Eligible    bool                 // it may become the leader
	Isolated    bool                 // it cannot connect to any endpoint itself
	LeaderEpoch int64                // epoch of its leadership; 0 if it does not lead
	Lease       Lease                // its leader's lease, while it leads
	Uptime      time.Duration        // how long it has run, less its delay in the elections of a large fleet
	Relay       bool                 // it passes on the status of other nodes
	Idle        bool                 // no requests lately: it needs no loads, and sends and receives beats less often
	Sequence    uint64               // sequence number of its copy of the store's objects
	Routing     uint64               // sequence number of the last change that nodes with only the routing objects need
	Full        bool                 // its copy holds all endpoints, not only what is needed for routing
	Watching    bool                 // its copy comes directly from the store
	ProofAt     time.Time            // when its copy of the store was last known to be current; zero if unknown
	Busy        int                  // 1 if it has requests; in totals, the number of nodes that have
	Loads       Loads                // its requests at endpoints
	Limits      RateLimits           // announced by endpoints
	Cold        RateLimits           // its request counts at recently started endpoints, whose limit is in the configuration
	Suspects    map[string]time.Time // replica groups that have stalled, with the time of the last sign of progress
	Retiring    []string             // replica groups that the leader is about to end
	Lost        []string             // replica groups that the leader has found to have lost a member
	Demands     map[string]Demand    // by model
}
