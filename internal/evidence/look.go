package evidence

// Look is the result of one poll of one fabric domain by one observer.
type Look struct {
	Domain     string
	Observer   string
	Sequence   uint64 // increases with every observation by the observer
	Generation int64  // generation of the assignment that the observer used
	Groups     []Group
	Near       bool // the observer is in this node's data centre
}
