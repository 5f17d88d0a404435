package quarantine

// Source is the node from which a change was received.
type Source struct {
	VM    string // empty if this node made the change itself
	Relay bool   // the node is a relay, which also informs all other relays
}
