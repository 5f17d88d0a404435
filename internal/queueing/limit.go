package queueing

import "time"

// Objectives are the objectives of a request; 0 for none.
type Objectives struct {
	FirstEvent time.Duration // time to the first event, from now
	Gap        time.Duration // longest gap between two events
}

// Met reports whether a group that takes the request is predicted to meet the objectives: of the first event of the request, and
// of the gaps of the requests that run there, for which the request's own objective stands.
func (o Objectives) Met(firstEvent, gap time.Duration) bool {
	return (o.FirstEvent == 0 || firstEvent <= o.FirstEvent) && (o.Gap == 0 || gap <= o.Gap)
}
