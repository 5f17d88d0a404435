package adminapi

import (
	"encoding/json"
)

// ApplyRequest asks to accept a set of files.
type ApplyRequest struct {
	Operation string                     `json:"operation"` // unique; the same when sent again
	Base      int64                      `json:"base"`      // revision the files were drawn from
	Files     map[string]json.RawMessage `json:"files"`     // by file name
	Remove    []string                   `json:"remove,omitempty"`
	DryRun    bool                       `json:"dry_run,omitempty"`
}
