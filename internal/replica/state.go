package replica

// State is the lifecycle state of a replica group.
type State string

const (
	// Forming means that the group's VMs have been ordered to load the model.
	Forming State = "forming"
	// Serving means that all VMs of the group have been ready at the same time since its Birth generation.
	Serving State = "serving"
	// Draining means that the group takes no new requests and is broken up after the last one ends.
	Draining State = "draining"
)
