package replica

// WaitRule says how long a lost VM is waited for before a spare takes its place.
type WaitRule uint8

const (
	// WaitLearned takes the limit that would have cost least over the pauses seen.
	WaitLearned WaitRule = iota
	// WaitAlways never replaces a VM; a baseline.
	WaitAlways
	// WaitNever replaces a VM as soon as it is lost; a baseline.
	WaitNever
)
