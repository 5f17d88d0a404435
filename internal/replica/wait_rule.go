package replica

// WaitRule selects how long to wait for a lost VM before a spare replaces it.
type WaitRule uint8

const (
	// WaitLearned uses the limit that would have caused the least downtime over the recorded pauses.
	WaitLearned WaitRule = iota
	// WaitAlways never replaces a lost VM and keeps no weights on spares. It is a baseline for comparison.
	WaitAlways
	// BreakAtOnce breaks up a group as soon as a VM is lost and forms a new one, and keeps no weights on spares.
	// It is a baseline for comparison.
	BreakAtOnce
)
