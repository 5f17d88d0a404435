package formation

import (
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Kind is the action that an order requests.
type Kind uint8

const (
	// Join makes the endpoint a member of a replica group.
	Join Kind = iota + 1
	// Open makes the head of a ready group accept requests.
	Open
	// Leave ends the endpoint's membership in its group at once.
	Leave
	// Stage loads a model onto the endpoint's host while the endpoint continues to serve.
	Stage
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Join:
		return "join"
	case Open:
		return "open"
	case Leave:
		return "leave"
	case Stage:
		return "stage"
	default:
		return "invalid"
	}
}

// Order is one order to one endpoint. Endpoints refuse joins with an epoch lower than one already seen. The other
// orders name the group and epoch that they apply to, so that one carried out late does not affect a later group.
type Order struct {
	Kind     Kind
	Endpoint *endpoint.Endpoint
	Group    string
	Epoch    int64
	Model    string
	Members  []string // endpoint IDs, the head first
	Tenure   int64    // fencing token of the leader that sends it; endpoints that check it refuse a lower one than already seen
	// Sequence is the number of orders that the endpoint must have begun; otherwise it refuses the order. Nil stands for any number.
	Sequence *int64
	Proof    JoinProof // on what a join rests
}

// membership returns the membership that the join gives its endpoint.
func (o Order) membership() *endpoint.Membership {
	return &endpoint.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Endpoint.ID), State: endpoint.Joining}
}

// Outcome is the known result of an order.
type Outcome uint8

const (
	// Accepted means that the endpoint has begun to carry out the order.
	Accepted Outcome = iota + 1
	// Done means that the endpoint has carried out the order at once, or that there was nothing to do.
	Done
	// Refused means that the order does not fit the endpoint's state.
	Refused
	// Fenced means that the endpoint has seen a higher epoch or an order of a later leader. Nothing has changed.
	Fenced
	// WrongEndpoint means that the address belongs to another endpoint: the intended one has ended.
	WrongEndpoint
	// NotSent means that the order has not reached the endpoint and never will.
	NotSent
	// Unknown means that no answer came: the order may still be carried out, perhaps much later.
	Unknown
)

// Taken reports whether the endpoint carries out the order or has done so.
func (o Outcome) Taken() bool { return o == Accepted || o == Done }

// Answered reports whether the endpoint has answered.
func (o Outcome) Answered() bool { return o != NotSent && o != Unknown }

// Declined reports whether the endpoint certainly does not carry out the order.
func (o Outcome) Declined() bool { return o == Refused || o == Fenced || o == WrongEndpoint }

// String returns the name used in logs.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "taken"
	case Done:
		return "done"
	case NotSent:
		return "not_sent"
	case Refused:
		return "refused"
	case Fenced:
		return "fenced"
	case WrongEndpoint:
		return "elsewhere"
	default:
		return "unknown"
	}
}
