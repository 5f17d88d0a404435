package infra

import (
	"context"
	"errors"
)

// ErrFenced is returned by Order when the engine has obeyed a later generation.
var ErrFenced = errors.New("order refused: the engine has obeyed a later generation")

// EngineState is what a model engine reports of itself.
type EngineState struct {
	VM         string   `json:"vm"`
	Boot       string   `json:"boot"` // changes when the engine restarts
	Group      string   `json:"group"`
	GroupBirth int64    `json:"group_birth"`
	Generation int64    `json:"generation"`
	Role       Role     `json:"role"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters,omitempty"`
	Ready      bool     `json:"ready"` // weights are loaded and the order is obeyed
	Running    int      `json:"running"`
	Waiting    int      `json:"waiting"`
	LoadMillis int64    `json:"load_ms"` // how long the last load of weights took
}

// Engine controls model engines by their address.
type Engine interface {
	// State asks the engine at address what it is doing.
	State(ctx context.Context, address string) (EngineState, error)
	// Order tells the engine at address what to become; it returns before the load is done.
	Order(ctx context.Context, address string, order Order) error
	// Cancel stops the stream with that id at the engine.
	Cancel(ctx context.Context, address, stream string) error
}

// InGroup reports whether the engine says it is in exactly that group.
func (s EngineState) InGroup(group string, birth int64, model, version string) bool {
	return s.Group == group && s.GroupBirth == birth && s.Model == model && s.Version == version
}
