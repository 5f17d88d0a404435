package replica

import "time"

// Policy holds the planner's durations.
type Policy struct {
	LossAfter  time.Duration // silence after which a VM counts as lost
	DrainFloor time.Duration // a draining group is kept at least that long, until no router uses it
	DrainLimit time.Duration // a draining group is broken up after that even if requests still run
	Reload     time.Duration // how long a group takes to load when none has been measured
	Reform     time.Duration // how long a group takes to be whole again with VMs that hold the weights
	Wait       WaitRule      // rule for the time a lost VM is waited for
	MaxWait    time.Duration // a lost VM is waited for at most that long while a spare could take its place
}

// DefaultPolicy is used by moorrund.
var DefaultPolicy = Policy{
	LossAfter:  2500 * time.Millisecond,
	DrainFloor: 3 * time.Second,
	DrainLimit: 10 * time.Minute,
	Reload:     30 * time.Second,
	Reform:     time.Second,
	MaxWait:    time.Minute,
}
