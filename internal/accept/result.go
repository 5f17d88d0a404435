package accept

import "moorrun.dev/moorrun/internal/config"

// Status is how an apply ended.
type Status string

const (
	// Accepted means the set is the configuration from Revision on.
	Accepted Status = "accepted"
	// Unchanged means the set is in force already.
	Unchanged Status = "unchanged"
	// Conflict means another operator changed the same parts first.
	Conflict Status = "conflict"
	// Invalid means the set was refused for its Problems.
	Invalid Status = "invalid"
	// Unknown means the store did not say; ask again with the same operation.
	Unknown Status = "unknown"
)

// Result is the answer to a Request.
type Result struct {
	Status    Status          `json:"status"`
	Operation string          `json:"operation"`
	Revision  int64           `json:"revision"` // accepted, or the winner's in a conflict
	Winner    string          `json:"winner,omitempty"`
	Changes   []config.Change `json:"changes,omitempty"` // what differs
	Problems  config.Problems `json:"problems,omitempty"`
	Detail    string          `json:"detail,omitempty"`
}
