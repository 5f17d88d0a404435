package evidence

import "time"

// Group is the evidence about one replica group.
type Group struct {
	ID      string
	Birth   int64     // assignment generation at which the group's VMs or model last changed
	Expires time.Time // routers may use the group until then; zero if it is not whole
	Running uint32    // requests that the group's leader is running
	Waiting uint32    // requests that wait at the group's leader
	// LeaderBoot is a hash of the leader's boot ID; zero if the group is not whole or its observer does not report it.
	LeaderBoot uint32
}
