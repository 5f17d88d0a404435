package formation

import (
	"context"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Answer is what asking an endpoint directly has shown.
type Answer uint8

const (
	// Answered means that the endpoint answered.
	Answered Answer = iota + 1
	// NobodyThere means that nothing listens there, or another endpoint does.
	NobodyThere
	// Silent means that nothing came.
	Silent
)

// Engine talks to endpoints.
type Engine interface {
	// Ask asks the endpoint for a report.
	Ask(ctx context.Context, e *endpoint.Endpoint) Answer
	// Order gives an order.
	Order(ctx context.Context, o Order) Outcome
}
