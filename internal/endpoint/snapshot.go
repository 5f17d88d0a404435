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
	// Returned says when data centres were last taken back into use.
	Returned map[string]time.Time
	// RoutingOnly says that of replica groups only the heads of open ones are listed. They were opened by a leader that has
	// seen all their members ready.
	RoutingOnly bool

	beat time.Duration // within which an endpoint that has become cold writes so
}

// Gone is an endpoint that is no longer listed. It may be dead, leaving, or cut off from the platform.
type Gone struct {
	Endpoint *Endpoint
	At       time.Time
	Over     bool // it has started again since, so this life has certainly ended
}

// copyAge is how old a node's copy of what an endpoint has written may be.
const copyAge = 300 * time.Millisecond

// Cold reports whether the endpoint bears few requests now. Those of a data centre that was taken back may have become cold
// just before, for as long as after a start.
func (s *Snapshot) Cold(e *Endpoint, coldFor time.Duration, now time.Time) bool {
	if now.Before(e.Cold) {
		return true
	}
	back, known := s.Returned[e.Zone]
	return known && now.Sub(back) < coldFor+s.beat+copyAge
}
