package lease

// Action is what the keeper of a Lease should do next.
type Action uint8

const (
	// Wait means nothing is due.
	Wait Action = iota
	// Read means the object should be read.
	Read
	// Write means the Record returned with it should be written.
	Write
)
