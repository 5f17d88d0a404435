package replica

import (
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

// VMView is the lease holder's view of one VM.
type VMView struct {
	Answered   bool      // it has answered at least one observer
	LastAnswer time.Time // when the request for the latest answer was sent
	State      infra.EngineState
	Leaving    bool // the platform is about to remove it, or an operator drains it
	Gone       bool // it is no longer in the platform's list
}

// silent reports whether the VM has never answered or not for longer than limit.
func (v VMView) silent(now time.Time, limit time.Duration) bool {
	return !v.Answered || now.Sub(v.LastAnswer) > limit
}

// usable reports whether a new group may use the VM.
func (v VMView) usable(now time.Time, limit time.Duration) bool {
	return !v.Leaving && !v.Gone && !v.silent(now, limit)
}
