package lease

// Action is the store operation that is due for a Lease.
type Action uint8

const (
	// Wait means nothing is due.
	Wait Action = iota
	// Read means the lease object should be read.
	Read
	// Write means the Record returned with the action should be written.
	Write
)
