package gossip

// BeatKind classifies a beat by its sender and receiver. Its values are the kinds by which sent beats are counted.
type BeatKind string

const (
	// ReportBeat goes from a node that is not a relay to a relay that it subscribes to.
	ReportBeat BeatKind = "report"
	// RelayBeat goes from one relay to another.
	RelayBeat BeatKind = "relay"
	// SubscriberBeat is a relay's reply to a ReportBeat.
	SubscriberBeat BeatKind = "subscriber"
	// StrayBeat goes to a node that the sender does not exchange beats with regularly.
	StrayBeat BeatKind = "stray"
)

// BeatKinds lists all beat kinds.
var BeatKinds = []BeatKind{ReportBeat, RelayBeat, SubscriberBeat, StrayBeat}
