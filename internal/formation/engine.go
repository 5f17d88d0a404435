package formation

import (
	"context"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Answer is the result of probing an endpoint directly.
type Answer uint8

const (
	// Answered means that the endpoint answered and has carried out every order.
	Answered Answer = iota + 1
	// AnsweredBusy means that the endpoint answered and is still carrying out an order, such as a load.
	AnsweredBusy
	// NobodyThere means that nothing listens at the address, or that another endpoint does.
	NobodyThere
	// Silent means that no answer came before the timeout.
	Silent
)

// Heard reports whether the endpoint answered.
func (a Answer) Heard() bool { return a == Answered || a == AnsweredBusy }

// Engine sends probes and orders to endpoints.
type Engine interface {
	// Ask probes the endpoint for its state.
	Ask(ctx context.Context, e *endpoint.Endpoint) Answer
	// Order sends an order to its endpoint.
	Order(ctx context.Context, o Order) Outcome
}
