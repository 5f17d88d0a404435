package accept

import "moorrun.dev/moorrun/internal/config"

// Request asks to accept a set of parts.
type Request struct {
	Operation string       // unique id, the same when the request is sent again
	Base      int64        // revision it was drawn from
	Changes   config.Set   // parts to put in force
	Remove    []string     // names of parts to take out
	Scope     config.Scope // what the operator may change
	By        string       // who asks, for messages
}
