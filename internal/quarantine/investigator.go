package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// probeTimeout bounds one probe of an endpoint. Endpoints in the same region answer within a few milliseconds.
	probeTimeout = 400 * time.Millisecond
	// maxProbes is how often an endpoint is probed until one probe has a result, and probePause the time between two of them.
	maxProbes  = 4
	probePause = 100 * time.Millisecond
	// maxNeighbourProbes is the maximum number of endpoints in the same fabric domain that are probed after an ending. One
	// that answers shows that the domain is up; usually the first one does.
	maxNeighbourProbes = 3
	// abandonedTTL is how long after a caller abandons a request an ending still counts against that request. An endpoint
	// ends when it begins to run the request, which may first wait for its place in a batch.
	abandonedTTL = 2 * time.Second
	// maxAbandonedPerEndpoint is the maximum number of abandoned requests kept for each endpoint.
	maxAbandonedPerEndpoint = 64
	// maxLoggedAttempts is the maximum number of attempts that one log line describes.
	maxLoggedAttempts = 20
)

// Directory tells which endpoints there are.
type Directory interface {
	// IsLeaving reports whether the instance of an endpoint is draining, or is not listed any more.
	IsLeaving(e *endpoint.Endpoint) bool
	// Neighbours returns the other endpoints of e's fabric domain, or of its data centre if it is in none, that are not draining.
	Neighbours(e *endpoint.Endpoint) []*endpoint.Endpoint
}

// Investigator determines why connections to endpoints broke. An ending counts against the requests that the endpoint was running
// only if there is no other known cause: the endpoint was not draining, and its fabric domain is up. An endpoint that does
// not answer at all is not assumed to have ended.
type Investigator struct {
	Table     *Table
	Directory Directory
	// Probe probes whether an endpoint is alive.
	Probe func(ctx context.Context, e *endpoint.Endpoint) ProbeResult
	// OnEnding is called after an ending has been recorded. held reports whether a request is newly held back because of it, in
	// which case the other nodes must be notified at once. OnEnding must not block.
	OnEnding func(held bool)
	Logger   log.Logger

	mu             sync.Mutex
	investigations map[uint32]*investigation     // by instanceHash of the endpoint
	abandoned      map[string][]abandonedRequest // by endpoint id
}

// abandonedRequest is a request that was abandoned before its endpoint answered.
type abandonedRequest struct {
	attempt Attempt
	at      time.Time
}

// Failed reports that the connection to an endpoint broke while the endpoint had the request.
func (q *Investigator) Failed(e *endpoint.Endpoint, a Attempt) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	inv := q.investigations[instanceHash(e)]
	switch {
	case inv == nil || !inv.fresh(now):
		inv = q.investigate(e)
		inv.attempts = append(inv.attempts, a)
	case inv.cause == "":
		inv.attempts = append(inv.attempts, a)
	case inv.cause == endedAlone:
		q.recordEnding(e, []Attempt{a}, inv.start, now)
	}
}

// Abandoned reports that the request was abandoned while the endpoint had it.
func (q *Investigator) Abandoned(e *endpoint.Endpoint, a Attempt) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.abandoned == nil {
		q.abandoned = make(map[string][]abandonedRequest)
	}
	list := q.recentlyAbandoned(e.ID, now)
	if len(list) >= maxAbandonedPerEndpoint {
		list = list[1:]
	}
	q.abandoned[e.ID] = append(list, abandonedRequest{a, now})
}

// Refused reports that the endpoint refused a connection. It starts an investigation only if the endpoint had abandoned
// requests; the connections of all other requests break, which Failed reports.
func (q *Investigator) Refused(e *endpoint.Endpoint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.recentlyAbandoned(e.ID, clock.Now())) > 0 && q.investigations[instanceHash(e)] == nil {
		q.investigate(e)
	}
}

// Sweep removes abandoned requests and investigations that have expired.
func (q *Investigator) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.abandoned {
		if len(q.recentlyAbandoned(id, now)) == 0 {
			delete(q.abandoned, id)
		}
	}
	for instance, inv := range q.investigations {
		if !inv.fresh(now) {
			delete(q.investigations, instance)
		}
	}
}

// recentlyAbandoned returns the requests abandoned at an endpoint within abandonedTTL. The caller holds q.mu.
func (q *Investigator) recentlyAbandoned(id string, now time.Time) []abandonedRequest {
	return slices.DeleteFunc(slices.Clone(q.abandoned[id]), func(l abandonedRequest) bool { return now.Sub(l.at) > abandonedTTL })
}

// investigate starts an investigation of an endpoint. The caller holds q.mu.
func (q *Investigator) investigate(e *endpoint.Endpoint) *investigation {
	if q.investigations == nil {
		q.investigations = make(map[uint32]*investigation)
	}
	inv := &investigation{}
	q.investigations[instanceHash(e)] = inv
	go q.conclude(e, clock.Now())
	return inv
}

// recordEnding records the ending against the attempts and reports whether any request is newly held back.
func (q *Investigator) recordEnding(e *endpoint.Endpoint, attempts []Attempt, noticed, now time.Time) bool {
	ending := EndingOf(e, noticed)
	held := false
	for _, a := range attempts {
		counted := ending
		if a.Resent {
			counted = ending.asSeparateIncident()
		}
		held = q.Table.Ended(counted, []Fingerprint{a.Request}, now) || held
		if !a.Begun {
			held = q.Table.PartsEnded(counted, a.Parts, now) || held
		}
	}
	return held
}

// conclude determines the cause and, if the endpoint ended for no other known reason, records the ending against its
// requests. noticed is when the first connection failed.
func (q *Investigator) conclude(e *endpoint.Endpoint, noticed time.Time) {
	cause := q.findCause(e)
	now := clock.Now()
	q.mu.Lock()
	inv := q.investigations[instanceHash(e)]
	affected := inv.attempts
	*inv = investigation{cause: cause, start: noticed}
	if !cause.isEnd() {
		delete(q.investigations, instanceHash(e)) // the endpoint may still end at any time
		q.mu.Unlock()
		if cause == nothingKnown {
			_ = level.Info(q.Logger).Log("msg", "endpoint may have ended", "endpoint", e.ID, "requests", len(affected), "took_ms", now.Sub(noticed).Milliseconds())
		}
		return
	}
	for _, l := range q.recentlyAbandoned(e.ID, now) {
		affected = append(affected, l.attempt)
	}
	q.mu.Unlock()
	q.logCause(e, cause, affected)
	if cause == endedAlone {
		q.OnEnding(q.recordEnding(e, affected, noticed, now))
	}
}

// logCause logs the cause of an endpoint's ending, with the requests that it had and the parts of the prompts of those whose
// answers had not begun.
func (q *Investigator) logCause(e *endpoint.Endpoint, cause endCause, attempts []Attempt) {
	fingerprints, waiting := []Fingerprint{}, []string{}
	for _, a := range attempts[:min(len(attempts), maxLoggedAttempts)] {
		fingerprints = append(fingerprints, a.Request)
		if !a.Begun {
			waiting = append(waiting, strings.Join(a.PromptParts, ","))
		}
	}
	_ = level.Info(q.Logger).Log("msg", "endpoint ended", "endpoint", e.ID, "instance", EndingOf(e, time.Time{}).Instance(), "domain", e.Domain, "finding", string(cause),
		"requests", len(attempts), "fingerprints", fingerprints, "prompts_not_begun", waiting)
}

// findCause probes the endpoint and a sample of its neighbours.
func (q *Investigator) findCause(e *endpoint.Endpoint) endCause {
	result := q.probe(e)
	leaving := q.Directory.IsLeaving(e) // later its entry may be gone because it has ended
	for i := 1; result == Unknown && i < maxProbes; i++ {
		time.Sleep(probePause)
		result = q.probe(e)
	}
	switch result {
	case Alive:
		return notEnded
	case Unknown:
		return nothingKnown
	case Ended:
	}
	if leaving {
		return endedWhileDraining
	}
	neighbours := q.sampleNeighbours(e)
	if len(neighbours) > 0 && !slices.ContainsFunc(neighbours, func(n *endpoint.Endpoint) bool { return q.probe(n) == Alive }) {
		return endedWithDomain
	}
	return endedAlone
}

func (q *Investigator) probe(e *endpoint.Endpoint) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return q.Probe(ctx, e)
}

// sampleNeighbours returns random neighbours of e. Endpoints that this node is investigating or has found to have ended come last,
// because probing them gives no new evidence about the domain.
func (q *Investigator) sampleNeighbours(e *endpoint.Endpoint) []*endpoint.Endpoint {
	var out, ended []*endpoint.Endpoint
	neighbours := q.Directory.Neighbours(e)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, other := range neighbours {
		if q.investigations[instanceHash(other)] != nil {
			ended = append(ended, other)
			continue
		}
		out = append(out, other)
	}
	shuffle(out)
	shuffle(ended)
	out = append(out, ended...)
	return out[:min(len(out), maxNeighbourProbes)]
}

func shuffle(list []*endpoint.Endpoint) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
