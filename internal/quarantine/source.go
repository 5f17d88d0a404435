package quarantine

// Source is the node that has told of a change.
type Source struct {
	VM    string // empty if the change was found here
	Relay bool   // it tells all other relays, too
}
