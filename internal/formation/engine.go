package formation

import (
	"context"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Answer is what asking an endpoint directly has shown.
type Answer uint8

const (
	// Answered means that the endpoint answered and has carried out every order.
	Answered Answer = iota + 1
	// AnsweredBusy means that the endpoint answered and is still carrying out an order, such as a load.
	AnsweredBusy
	// NobodyThere means that nothing listens there, or another endpoint does.
	NobodyThere
	// Silent means that nothing came.
	Silent
)

// Heard reports whether the endpoint answered.
func (a Answer) Heard() bool { return a == Answered || a == AnsweredBusy }

// Engine talks to endpoints.
type Engine interface {
	// Ask asks the endpoint for a report.
	Ask(ctx context.Context, e *endpoint.Endpoint) Answer
	// Order gives an order.
	Order(ctx context.Context, o Order) Outcome
}
