package replica

import "time"

// Policy holds the planner's durations and its rule for lost VMs.
type Policy struct {
	LossAfter    time.Duration // time without an answer after which a VM counts as lost
	DrainFloor   time.Duration // minimum time a draining group is kept, in which all routers stop using it
	DrainLimit   time.Duration // time after which a draining group is broken up even if requests still run
	Reload       time.Duration // assumed load time of a group if none has been measured
	WarmRecovery time.Duration // time a group takes to become ready again with VMs that already hold the weights
	Wait         WaitRule      // how the wait limit for a lost VM is chosen
	MaxWait      time.Duration // longest wait for a lost VM while a spare could replace it
}

// DefaultPolicy is the policy that moorrund uses.
var DefaultPolicy = Policy{
	LossAfter:    2500 * time.Millisecond,
	DrainFloor:   3 * time.Second,
	DrainLimit:   10 * time.Minute,
	Reload:       30 * time.Second,
	WarmRecovery: time.Second,
	MaxWait:      time.Minute,
}
