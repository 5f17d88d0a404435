package evidence

// Observation is the result of one poll of one fabric domain by one observer.
type Observation struct {
	Domain         string
	Observer       string
	Sequence       uint64 // increases with every observation by the observer
	Generation     int64  // generation of the assignment that the observer used
	Groups         []Group
	SameDataCentre bool // the observer is in this node's data centre
}
