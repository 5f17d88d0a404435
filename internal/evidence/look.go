package evidence

// Look is what one observer last saw of one fabric domain.
type Look struct {
	Domain     string
	Observer   string
	Sequence   uint64 // grows with every look of the observer
	Generation int64  // of the assignment the observer looked with
	Groups     []Group
	Near       bool // the observer is in this node's data centre
}
