package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Part is one unit of the configuration: the pool, a data centre or a workspace. Exactly one of the pointers is
// set.
type Part struct {
	File       string // source file, for messages
	Pool       *Pool
	DataCentre *DataCentre
	Workspace  *Workspace
}

// Name returns the name of the part: "pool", "data_centre/NAME" or "workspace/NAME".
func (p Part) Name() string {
	switch {
	case p.Pool != nil:
		return string(KindPool)
	case p.DataCentre != nil:
		return string(KindDataCentre) + "/" + p.DataCentre.Name
	default:
		return WorkspacePart(p.Workspace.Name)
	}
}

// WorkspacePart returns the name of a workspace's part.
func WorkspacePart(workspace string) string { return string(KindWorkspace) + "/" + workspace }

// Content returns the canonical JSON of the part.
func (p Part) Content() json.RawMessage {
	var v any = p.Workspace
	switch {
	case p.Pool != nil:
		v = p.Pool
	case p.DataCentre != nil:
		v = p.DataCentre
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic("config: part does not marshal: " + err.Error())
	}
	return b
}

// Hash returns the SHA-256 hash of Content in hex.
func (p Part) Hash() string {
	sum := sha256.Sum256(p.Content())
	return hex.EncodeToString(sum[:])
}
