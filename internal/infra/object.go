package infra

import "encoding/json"

// Object is one value of the object API with the version its last write gave it.
type Object struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"` // grows with every write to the store; 0 means absent
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}
