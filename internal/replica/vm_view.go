package replica

import (
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

// VMView is what the lease holder knows of one VM.
type VMView struct {
	Answered   bool      // it has answered some observer
	LastAnswer time.Time // when the answer last received was asked for
	State      infra.EngineState
	Leaving    bool // the platform takes it away, or an operator drains it
	Gone       bool // the platform's list no longer has it
}

// silent reports whether the VM has given no sign of life for longer than limit.
func (v VMView) silent(now time.Time, limit time.Duration) bool {
	return !v.Answered || now.Sub(v.LastAnswer) > limit
}

// usable reports whether a new group may take the VM.
func (v VMView) usable(now time.Time, limit time.Duration) bool {
	return !v.Leaving && !v.Gone && !v.silent(now, limit)
}
