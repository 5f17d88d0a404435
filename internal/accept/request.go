package accept

import "moorrun.dev/moorrun/internal/config"

// Request is an operator's request to change parts of the configuration.
type Request struct {
	Operation string       // unique id; a repeated request carries the same one
	Base      int64        // revision that the changes are based on
	Changes   config.Set   // parts to add or replace
	Remove    []string     // names of parts to remove
	Scope     config.Scope // parts that the operator may change
	By        string       // name of the operator, for messages
}
