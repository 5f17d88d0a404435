package infra

// Outcome is the result of a conditional write as known to the writer.
type Outcome uint8

const (
	// Applied means the write took effect.
	Applied Outcome = iota + 1
	// NotApplied means the write did not take effect, for example because the object was at another version.
	NotApplied
	// Unknown means no usable response arrived: the write may have taken effect or may still do so.
	Unknown
)

// String returns the outcome in the form used in logs.
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
