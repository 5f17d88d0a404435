package adminapi

import (
	"encoding/json"
)

// Revision holds the accepted revision and the one in force at the node that answers.
type Revision struct {
	Accepted int64 `json:"accepted"`
	InForce  int64 `json:"in_force"`
}

// Configuration holds those parts of the accepted configuration that the operator may change, by part name.
type Configuration struct {
	Revision int64                      `json:"revision"`
	Parts    map[string]json.RawMessage `json:"parts"`
}
