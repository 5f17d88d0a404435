package infra

import "encoding/json"

// Object is one object of the object API, with the version assigned by its last write.
type Object struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"` // increases with every write to the store; 0 means that the object does not exist
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}
