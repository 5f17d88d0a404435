package accept

import "moorrun.dev/moorrun/internal/config"

// Status is the outcome of an apply request.
type Status string

const (
	// Accepted means that the requested configuration is accepted as of Revision.
	Accepted Status = "accepted"
	// Unchanged means that the requested configuration equals the accepted one.
	Unchanged Status = "unchanged"
	// Conflict means that another operator has changed the same parts since the request's base revision.
	Conflict Status = "conflict"
	// Invalid means that the request was refused for the reasons in Problems.
	Invalid Status = "invalid"
	// Unknown means that the store has not confirmed an outcome; repeat the request with the same operation id.
	Unknown Status = "unknown"
)

// Result is the outcome of a Request, as returned to the operator.
type Result struct {
	Status    Status          `json:"status"`
	Operation string          `json:"operation"`
	Revision  int64           `json:"revision"`          // accepted revision; in a conflict, that of the current head
	Winner    string          `json:"winner,omitempty"`  // in a conflict, the operation that changed the parts first
	Changes   []config.Change `json:"changes,omitempty"` // differences from the accepted configuration
	Problems  config.Problems `json:"problems,omitempty"`
	Detail    string          `json:"detail,omitempty"`
}
