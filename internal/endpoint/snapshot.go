package endpoint

import "time"

// Snapshot is the immutable state of a Directory at one moment.
type Snapshot struct {
	Endpoints map[string]*Endpoint   // by instance ID
	Services  map[string][]*Endpoint // by service name
	Groups    map[string]*Group      // by group name
	// Gone holds, by instance ID, the endpoints that were removed from the list recently.
	Gone map[string]Gone
	// Evacuated holds the data centres that are out of use. No requests are sent to their endpoints.
	Evacuated map[string]bool
	// Returned holds, by data centre, when it was last taken back into use.
	Returned map[string]time.Time
	// RoutingOnly means that of each replica group only the head is listed, and only while the group is open. The leader that
	// opened the group has seen all its members ready.
	RoutingOnly bool

	heartbeat time.Duration // interval at which endpoints write their entries; one that becomes cold writes so within it
}

// Listed returns the endpoint with the given listed ID, or nil.
func (s *Snapshot) Listed(id string) *Endpoint {
	for instance, e := range s.Endpoints {
		if ListedID(instance) == id {
			return e
		}
	}
	return nil
}

// Gone is an endpoint that is no longer listed. It may have ended, be leaving, or be cut off from the platform.
type Gone struct {
	Endpoint  *Endpoint
	At        time.Time // when the removal was noticed
	Restarted bool      // the endpoint has restarted since, so this instance has certainly ended
}

// maxCopyAge is the greatest age of a node's copy of an endpoint's entry.
const maxCopyAge = 300 * time.Millisecond

// Cold reports whether the endpoint may be cold now. An endpoint of a data centre that was taken back into use may have become
// cold just before, for as long as after a start, before its entry shows it.
func (s *Snapshot) Cold(e *Endpoint, coldFor time.Duration, now time.Time) bool {
	if now.Before(e.ColdUntil) {
		return true
	}
	back, known := s.Returned[e.DataCentre]
	return known && now.Sub(back) < coldFor+s.heartbeat+maxCopyAge
}
