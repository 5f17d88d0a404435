package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/route"
)

// View is the state that a Planner works from in one step.
type View struct {
	Now           time.Time
	CurrentAt     time.Time     // time as of which the snapshot is known to be current
	CurrentSince  time.Time     // since when it has been current without an outage of the store; zero if it is not current
	WriteInterval time.Duration // interval at which endpoints write their entries
	Service       *route.Service
	Snapshot      *endpoint.Snapshot
	Contacts      map[string]Contact    // by endpoint ID, for endpoints probed recently
	Loads         map[string]int        // requests of all nodes, by endpoint ID of the head
	Demand        map[string]int        // running and waiting requests of all nodes, by model
	Mixes         map[string]engine.Mix // request mix of all nodes, by model
	SuspectGroups map[string]bool       // groups that some node reports as making no progress
	Busy          bool                  // callers have begun to send requests
}

// Contact is the result of recent direct probes of one endpoint.
type Contact struct {
	LastAnswer   time.Time
	Busy         bool      // at LastAnswer it was still carrying out an order
	FailedSince  time.Time // first failed probe after LastAnswer; zero if the last probe was answered
	Refused      bool      // nothing listens at its address, or another endpoint does
	UnheardSince time.Time // since when no other node that was asked could reach it either; zero if one could
	Report       *Report   // the last one; nil if there was none
	ReportedAt   time.Time // when the last report was requested
}

const (
	// downAfter is how long an endpoint must fail to answer before it counts as down. Sound endpoints may fall silent for a second;
	// requests are kept from a group that stands still long before. One that refuses connections is down at once.
	downAfter = 1500 * time.Millisecond
	// answeringSampleSize is how many other endpoints are probed to find out whether all are silent.
	answeringSampleSize = 4
	// deadAfter is how long an endpoint that is no longer listed must be unreachable for all nodes before it seems to be
	// dead. Only then are the members of a group that it headed ordered to leave it, because it may still serve with them.
	deadAfter = 1200 * time.Millisecond
	// entryExpiryWrites is the number of missed writes after which the platform removes an endpoint's entry.
	entryExpiryWrites = 3
	// entryExpirySlack is the additional time until the removal reaches this node. Package follow holds removals back after
	// an outage of the store, and part of the outage falls into the same time.
	entryExpirySlack = 1400 * time.Millisecond
	// maxDrainTime is how long an endpoint that leaves may serve its remaining requests after it has stopped listening.
	maxDrainTime = 11 * time.Second
)

// isDown reports whether the endpoint does not answer, because it is dead or unreachable.
func (v *View) isDown(id string) bool {
	if v.Snapshot.Gone[id].Restarted {
		return true
	}
	c, ok := v.Contacts[id]
	if !ok || c.FailedSince.IsZero() {
		return false
	}
	return c.Refused || v.Now.Sub(c.FailedSince) >= downAfter
}

// unansweredFor returns how long the endpoint has not answered; zero if it answered the last probe or was not probed.
func (v *View) unansweredFor(id string) time.Duration {
	c, ok := v.Contacts[id]
	if !ok || c.FailedSince.IsZero() {
		return 0
	}
	return max(v.Now.Sub(c.FailedSince), 1)
}

// othersAnswer reports whether any endpoint has answered since the given one has not.
func (v *View) othersAnswer(id string) bool {
	since := v.Contacts[id].FailedSince
	for _, other := range v.Contacts {
		if other.FailedSince.IsZero() && other.LastAnswer.After(since) {
			return true
		}
	}
	return false
}

// answeringSample returns some endpoints of the service that have not failed to answer, of different domains where possible.
func (v *View) answeringSample() []string {
	var sample, rest []string
	domains := make(map[string]bool)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		switch {
		case v.unansweredFor(e.ID) > 0:
		case domains[e.Domain]:
			rest = append(rest, e.ID)
		default:
			domains[e.Domain] = true
			sample = append(sample, e.ID)
		}
	}
	sample = append(sample, rest...)
	return sample[:min(len(sample), answeringSampleSize)]
}

// seemsDead reports whether the endpoint has probably ended. This is no proof: one that is cut off from the store and from all nodes, or
// that refuses their connections, may serve requests that it has.
func (v *View) seemsDead(id string) bool {
	if v.Snapshot.Gone[id].Restarted {
		return true
	}
	c, ok := v.Contacts[id]
	if !ok || c.FailedSince.IsZero() {
		return false
	}
	if c.Refused {
		return v.seemsEnded(id, c)
	}
	_, gone := v.Snapshot.Gone[id]
	return gone && !c.UnheardSince.IsZero() && v.Now.Sub(c.UnheardSince) >= deadAfter
}

// seemsEnded reports whether an endpoint where nothing listens has probably ended. An endpoint that leaves stops listening first
// and then finishes its requests: until it has ended it is listed as draining, or is not listed at all.
func (v *View) seemsEnded(id string, c Contact) bool {
	if v.CurrentAt.Before(c.FailedSince) {
		return false // it may have started to leave since
	}
	if e, listed := v.Snapshot.Endpoints[id]; listed && v.listConfirmed() {
		return !e.Draining
	} else if listed {
		return v.Now.Sub(c.FailedSince) >= maxDrainTime
	}
	if gone, known := v.Snapshot.Gone[id]; known && gone.Endpoint.Draining {
		return true
	}
	return v.Now.Sub(c.FailedSince) >= maxDrainTime
}

// listConfirmed reports whether every listed entry is certainly in the store. After an outage of the store removals are
// held back for some time, so an endpoint that left during the outage without announcing it is still listed.
func (v *View) listConfirmed() bool {
	return !v.CurrentSince.IsZero() && v.Now.Sub(v.CurrentSince) >= entryExpiryWrites*v.WriteInterval+entryExpirySlack
}

// answeredWithin reports whether the last probe was answered, and no longer ago than within.
func (v *View) answeredWithin(id string, within time.Duration) bool {
	c, ok := v.Contacts[id]
	return ok && c.FailedSince.IsZero() && v.Now.Sub(c.LastAnswer) <= within
}
