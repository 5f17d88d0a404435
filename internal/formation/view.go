package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/route"
)

// View is what a Planner sees in one step.
type View struct {
	Now      time.Time
	AsOf     time.Time     // the snapshot is certainly current as of then
	Steady   time.Time     // since when it has been current without a long pause; zero if it is not
	Beat     time.Duration // how often endpoints write their entries
	Service  *route.Service
	Snapshot *endpoint.Snapshot
	Contacts map[string]Contact    // by endpoint ID, of those that have been asked lately
	Loads    map[string]int        // requests of all nodes, by ID of the head
	Demand   map[string]int        // requests of all nodes, running and waiting, by model
	Mixes    map[string]engine.Mix // of the requests of all nodes, by model
	Suspects map[string]bool       // groups that stand still at some node
	Busy     bool                  // callers have begun to send requests
}

// Contact is what asking an endpoint directly has shown.
type Contact struct {
	Answered time.Time // last answer
	Busy     bool      // it was still carrying out an order then
	Failed   time.Time // first failure since then; zero if the last try was answered
	Refused  bool      // nothing listens at its address
	Alone    time.Time // since when none of the other nodes that were asked has heard it either; zero if one has
}

const (
	// silentFor is how long an endpoint must fail to answer before it counts as down: a lost packet alone is
	// sent again within it. For a member of a group that stands still one answer missed is enough.
	silentFor      = 900 * time.Millisecond
	silentForStill = 250 * time.Millisecond
	// deadAfter is how long an endpoint that is not listed any more must be silent to all nodes before it counts
	// as dead. Only then may the members of a group that it headed join others: it may still serve them.
	deadAfter = 1200 * time.Millisecond
	// lapseBeats is after how many beats without a write the platform removes an endpoint's entry.
	lapseBeats = 3
	// lapseSlack is what the removal may take beyond that to be known here: package follow holds removals back after the
	// store was away, of which a part falls into the same time.
	lapseSlack = 1400 * time.Millisecond
	// leavesWithin is how long an endpoint that leaves may serve what it has begun after it has stopped listening.
	leavesWithin = 11 * time.Second
)

// down reports whether the endpoint does not answer, whether dead or cut off.
func (v *View) down(id string) bool {
	if v.Snapshot.Gone[id].Over {
		return true
	}
	c, ok := v.Contacts[id]
	if !ok || c.Failed.IsZero() {
		return false
	}
	needed := silentFor
	if e := v.Snapshot.Endpoints[id]; e != nil && e.Membership != nil && v.Suspects[e.Membership.Group] {
		needed = silentForStill
	}
	return c.Refused || v.Now.Sub(c.Failed) >= needed
}

// dead reports whether the life of the endpoint is certainly over.
func (v *View) dead(id string) bool {
	if v.Snapshot.Gone[id].Over {
		return true
	}
	c, ok := v.Contacts[id]
	if !ok || c.Failed.IsZero() {
		return false
	}
	if c.Refused {
		return v.ended(id, c)
	}
	_, gone := v.Snapshot.Gone[id]
	return gone && !c.Alone.IsZero() && v.Now.Sub(c.Alone) >= deadAfter
}

// ended reports whether an endpoint where nothing listens has ended. One that leaves stops listening before that and
// serves what it has begun: it is listed as draining until it has ended, or is not listed from the beginning.
func (v *View) ended(id string, c Contact) bool {
	if v.AsOf.Before(c.Failed) {
		return false // it may have begun to leave meanwhile
	}
	if e, listed := v.Snapshot.Endpoints[id]; listed && v.confirmed() {
		return !e.Draining
	} else if listed {
		return v.Now.Sub(c.Failed) >= leavesWithin
	}
	if gone, known := v.Snapshot.Gone[id]; known && gone.Endpoint.Draining {
		return true
	}
	return v.Now.Sub(c.Failed) >= leavesWithin
}

// confirmed reports whether what is listed is certainly in the store. After the store was away, removals are held back
// for some time: an endpoint that has left meanwhile without a word is still listed.
func (v *View) confirmed() bool {
	return !v.Steady.IsZero() && v.Now.Sub(v.Steady) >= lapseBeats*v.Beat+lapseSlack
}

// answers reports whether the endpoint has answered a direct question within that time.
func (v *View) answers(id string, within time.Duration) bool {
	c, ok := v.Contacts[id]
	return ok && c.Failed.IsZero() && v.Now.Sub(c.Answered) <= within
}
