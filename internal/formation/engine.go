package formation

import (
	"context"

	"moorrun.dev/moorrun/internal/endpoint"
)

// ProbeResult is the result of probing an endpoint directly.
type ProbeResult uint8

const (
	// Answered means that the endpoint answered and has carried out every order.
	Answered ProbeResult = iota + 1
	// AnsweredBusy means that the endpoint answered and is still carrying out an order, such as a load.
	AnsweredBusy
	// Replaced means that another endpoint answers at the address.
	Replaced
	// ConnectionRefused means that the connection was refused: nothing listens at the address, or the path is broken.
	ConnectionRefused
	// NoAnswer means that no answer came before the timeout.
	NoAnswer
)

// Report is what an endpoint tells of itself, as of some hundred milliseconds before.
type Report struct {
	Sequence   int64                // orders that it has begun since its start
	Membership *endpoint.Membership // nil if it is in no group
}

// PeerEvidence is what other nodes have found out about an endpoint that does not answer this one.
type PeerEvidence uint8

const (
	// NoEvidence means that no node could be asked that reaches other endpoints.
	NoEvidence PeerEvidence = iota
	// Reachable means that the endpoint answered another node.
	Reachable
	// Unreachable means that it answered none, though the nodes reach other endpoints.
	Unreachable
)

// Heard reports whether the endpoint answered.
func (a ProbeResult) Heard() bool { return a == Answered || a == AnsweredBusy }

// Engine sends probes and orders to endpoints.
type Engine interface {
	// Probe asks the endpoint for a status report. The report is nil if the endpoint has not answered, or not told how many orders it
	// has begun.
	Probe(ctx context.Context, e *endpoint.Endpoint) (ProbeResult, *Report)
	// Order sends an order to its endpoint.
	Order(ctx context.Context, o Order) Outcome
}
