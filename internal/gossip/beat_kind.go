package gossip

// BeatKind says what a beat is sent for.
type BeatKind string

const (
	// Report is a node's beat to a relay of its own.
	Report BeatKind = "report"
	// ToRelay is a relay's beat to another one.
	ToRelay BeatKind = "relay"
	// ToSubscriber is a relay's answer to a report.
	ToSubscriber BeatKind = "subscriber"
	// ToStray goes to a node that is not heard regularly.
	ToStray BeatKind = "stray"
)

// BeatKinds are all of them.
var BeatKinds = []BeatKind{Report, ToRelay, ToSubscriber, ToStray}
