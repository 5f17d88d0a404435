package infra

// Outcome is what a writer knows about its conditional write.
type Outcome uint8

const (
	// Applied means the write took effect.
	Applied Outcome = iota + 1
	// NotApplied means the write was refused: the version had moved on.
	NotApplied
	// Unknown means the answer was lost: the write may have taken effect or still may.
	Unknown
)

// String returns a word for logs.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	default:
		return "unknown"
	}
}
