package replica

// State is the stage of a replica group's life.
type State string

const (
	// Forming is a group whose VMs have been ordered to load.
	Forming State = "forming"
	// Serving is a group that has been whole since its birth.
	Serving State = "serving"
	// Draining is a group that takes no new requests and is broken up when the last one ends.
	Draining State = "draining"
)
