package quarantine

// Finding is what asking an endpoint has shown.
type Finding uint8

const (
	// Alive means that it answered.
	Alive Finding = iota + 1
	// Ended means that nothing listens there any more, or another endpoint does.
	Ended
	// Unknown means that nothing came: it may be cut off, suspended or without power.
	Unknown
)
