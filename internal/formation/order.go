package formation

import "moorrun.dev/moorrun/internal/endpoint"

// Kind is what an order wants of an endpoint.
type Kind uint8

const (
	// Join makes the endpoint a member of a replica group.
	Join Kind = iota + 1
	// Open makes the head of a ready group take requests.
	Open
	// Leave ends the endpoint's membership at once.
	Leave
	// Stage loads a model to the endpoint's host beside what it does.
	Stage
)

// String returns a word for logs.
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

// Order is one order to one endpoint. Joins are fenced by their epoch; the others name the group and epoch that
// they touch, so that one carried out late does nothing to a later group.
type Order struct {
	Kind     Kind
	Endpoint *endpoint.Endpoint
	Group    string
	Epoch    int64
	Model    string
	Members  []string // IDs, the head first
	Tenure   int64    // of the leader that gives it; endpoints that check fences refuse one lower than seen
}

// Outcome is what is known about an order.
type Outcome uint8

const (
	// Taken means that the endpoint obeys or has obeyed.
	Taken Outcome = iota + 1
	// Refused means that the order does not fit the endpoint's state.
	Refused
	// Fenced means that the endpoint has seen a higher epoch or the order of a later leader. Nothing has changed.
	Fenced
	// Elsewhere means that another endpoint has the address: the life that was meant is over.
	Elsewhere
	// Unknown means that the order may be carried out, perhaps much later.
	Unknown
)

// Declined reports whether the endpoint certainly does not obey.
func (o Outcome) Declined() bool { return o == Refused || o == Fenced || o == Elsewhere }

// String returns a word for logs.
func (o Outcome) String() string {
	switch o {
	case Taken:
		return "taken"
	case Refused:
		return "refused"
	case Fenced:
		return "fenced"
	case Elsewhere:
		return "elsewhere"
	default:
		return "unknown"
	}
}
