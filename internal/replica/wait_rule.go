package replica

// WaitRule says how long a lost VM is waited for before a spare takes its place.
type WaitRule uint8

const (
	// WaitLearned takes the limit that would have cost least over the pauses seen.
	WaitLearned WaitRule = iota
	// WaitAlways never replaces a VM, and spares hold nothing; a baseline.
	WaitAlways
	// BreakAtOnce breaks a group up as soon as a VM is lost and forms it anew, with spares that hold nothing;
	// a baseline.
	BreakAtOnce
)
