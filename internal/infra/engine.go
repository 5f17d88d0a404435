package infra

import (
	"context"
	"errors"
	"github.com/cespare/xxhash/v2"
)

// ErrFenced is returned by Order when the engine has already accepted an order of a later generation.
var ErrFenced = errors.New("order rejected: the engine has already accepted an order of a later generation")

// EngineState is the state that a model engine reports about itself.
type EngineState struct {
	VM         string   `json:"vm"`
	Boot       string   `json:"boot"` // changes when the engine restarts
	Group      string   `json:"group"`
	GroupBirth int64    `json:"group_birth"` // generation at which the group's VMs or model last changed
	Generation int64    `json:"generation"`
	Role       Role     `json:"role"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters,omitempty"`
	Ready      bool     `json:"ready"` // the weights are loaded and the last order is carried out
	Running    int      `json:"running"`
	Waiting    int      `json:"waiting"`
	LoadMillis int64    `json:"load_ms"` // duration of the last weight load, in milliseconds
}

// Engine controls model engines, each identified by its address.
type Engine interface {
	// State returns the current state of the engine at address.
	State(ctx context.Context, address string) (EngineState, error)
	// Order sends the engine at address its desired state; it returns before the weights are loaded.
	Order(ctx context.Context, address string, order Order) error
	// Cancel stops the response stream with ID stream at the engine at address.
	Cancel(ctx context.Context, address, stream string) error
}

// InGroup reports whether the reported group, its birth generation, model and version all equal the arguments.
func (s EngineState) InGroup(group string, birth int64, model, version string) bool {
	return s.Group == group && s.GroupBirth == birth && s.Model == model && s.Version == version
}

// BootHash returns a hash of the boot ID, by which two starts of an engine are told apart.
func (s *EngineState) BootHash() uint32 {
	return uint32(xxhash.Sum64String(s.Boot)) //nolint:gosec // truncated to 32 bits on purpose
}
