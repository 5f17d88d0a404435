package endpoint

import "time"

// Snapshot is the state of a Directory at one moment. It is never changed.
type Snapshot struct {
	Endpoints map[string]*Endpoint
	Services  map[string][]*Endpoint
	Groups    map[string]*Group
	// Gone are endpoints that are no longer listed, with the instant at which this was noticed.
	Gone map[string]Gone
	// Evacuated are the data centres to whose endpoints nothing more is sent.
	Evacuated map[string]bool
}

// Gone is an endpoint that is no longer listed. It may be dead, leaving, or cut off from the platform.
type Gone struct {
	Endpoint *Endpoint
	At       time.Time
	Over     bool // it has started again since, so this life has certainly ended
}
