package adminapi

import (
	"encoding/json"
)

// ApplyRequest is a request to accept a set of files.
type ApplyRequest struct {
	Operation string                     `json:"operation"`        // unique id; a repeated request carries the same one
	Base      int64                      `json:"base"`             // revision that the files are based on
	Files     map[string]json.RawMessage `json:"files"`            // by file name
	Remove    []string                   `json:"remove,omitempty"` // names of parts to remove
	DryRun    bool                       `json:"dry_run,omitempty"`
}
