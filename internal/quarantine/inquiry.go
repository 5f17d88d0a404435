package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// askWait bounds one question to an endpoint. Those that live in the same region answer within some ms.
	askWait = 400 * time.Millisecond
	// neighbours is how many endpoints beside one that has ended are asked at the most. One that answers shows that the
	// fabric domain lives, and mostly it is the first.
	neighbours = 3
	// leftFor is how long after a request was given up its endpoint may end under it: it ends when it begins to run it, and
	// waits for its place in a batch before.
	leftFor = 2 * time.Second
	// maxLeft bounds the requests given up that are kept of one endpoint.
	maxLeft = 64
	// maxNamed bounds the fingerprints in one line of the log.
	maxNamed = 20
)

// Inquiry finds out why connections to endpoints have broken. An endpoint's end counts against the requests that it was
// running only if there is no other reason to be seen: it was not about to leave, and its fabric domain lives. A silent
// endpoint has not ended as far as can be known.
type Inquiry struct {
	Table     *Table
	Directory *endpoint.Directory
	// Ask asks an endpoint whether it lives.
	Ask func(ctx context.Context, e *endpoint.Endpoint) Finding
	// Noted is called when an ending was noted; held says that a request is held back for it, which the other nodes are to
	// know at once. It must not block.
	Noted  func(held bool)
	Logger log.Logger

	mu   sync.Mutex
	open map[uint32]*inquest      // by the endpoint's life
	left map[string][]leftRequest // by the endpoint's id
}

// leftRequest is a request that was given up before its endpoint had answered.
type leftRequest struct {
	fingerprint Fingerprint
	at          time.Time
}

// Failed takes in that the connection to an endpoint broke while it had the request; resent says that it was sent there
// after another endpoint had failed it.
func (q *Inquiry) Failed(e *endpoint.Endpoint, f Fingerprint, resent bool) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	o := q.open[lifeOf(e)]
	switch {
	case o == nil || !o.fresh(now):
		q.begin(e).add(f, resent)
	case o.found == "":
		o.add(f, resent)
	case o.found == endedAlone:
		late := &inquest{}
		late.add(f, resent)
		q.note(e, late, o.at, now)
	}
}

// Left takes in that the request was given up while the endpoint had it.
func (q *Inquiry) Left(e *endpoint.Endpoint, f Fingerprint) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.left == nil {
		q.left = make(map[string][]leftRequest)
	}
	list := q.stillLeft(e.ID, now)
	if len(list) >= maxLeft {
		list = list[1:]
	}
	q.left[e.ID] = append(list, leftRequest{f, now})
}

// Refused takes in that the endpoint did not take a connection. That is asked into only if it had requests that were given
// up: of the others the end shows by itself.
func (q *Inquiry) Refused(e *endpoint.Endpoint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.stillLeft(e.ID, clock.Now())) > 0 && q.open[lifeOf(e)] == nil {
		q.begin(e)
	}
}

// Sweep forgets what has grown old.
func (q *Inquiry) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.left {
		if len(q.stillLeft(id, now)) == 0 {
			delete(q.left, id)
		}
	}
	for life, o := range q.open {
		if !o.fresh(now) {
			delete(q.open, life)
		}
	}
}

// stillLeft returns the requests lately given up at an endpoint; the lock is held.
func (q *Inquiry) stillLeft(id string, now time.Time) []leftRequest {
	return slices.DeleteFunc(slices.Clone(q.left[id]), func(l leftRequest) bool { return now.Sub(l.at) > leftFor })
}

// begin opens an inquest; the lock is held.
func (q *Inquiry) begin(e *endpoint.Endpoint) *inquest {
	if q.open == nil {
		q.open = make(map[uint32]*inquest)
	}
	o := &inquest{}
	q.open[lifeOf(e)] = o
	go q.conclude(e, clock.Now())
	return o
}

// note notes the endpoint's end against the requests, and reports whether one of them begins to be held back.
func (q *Inquiry) note(e *endpoint.Endpoint, o *inquest, noticed, now time.Time) bool {
	ending := EndingOf(e, noticed)
	held := q.Table.Ended(ending, o.requests, now)
	return q.Table.Ended(ending.apart(), o.resent, now) || held
}

// conclude finds out whether the endpoint has ended by itself and notes it against its requests, as of when that was noticed.
func (q *Inquiry) conclude(e *endpoint.Endpoint, noticed time.Time) {
	found := q.reason(e)
	now := clock.Now()
	q.mu.Lock()
	o := q.open[lifeOf(e)]
	had := &inquest{requests: o.requests, resent: o.resent}
	*o = inquest{found: found, at: noticed}
	if found == stillAlive {
		delete(q.open, lifeOf(e)) // it may end any moment
		q.mu.Unlock()
		return
	}
	for _, l := range q.stillLeft(e.ID, now) {
		had.add(l.fingerprint, false)
	}
	q.mu.Unlock()
	q.tell(e, found, slices.Concat(had.requests, had.resent))
	if found == endedAlone {
		q.Noted(q.note(e, had, noticed, now))
	}
}

// tell logs what has been found of an endpoint.
func (q *Inquiry) tell(e *endpoint.Endpoint, found reason, requests []Fingerprint) {
	_ = level.Info(q.Logger).Log("msg", "endpoint ended", "endpoint", e.ID, "domain", e.Domain, "finding", string(found),
		"requests", len(requests), "fingerprints", requests[:min(len(requests), maxNamed)])
}

// reason asks the endpoint and those beside it.
func (q *Inquiry) reason(e *endpoint.Endpoint) reason {
	if q.ask(e) != Ended {
		return stillAlive
	}
	snapshot := q.Directory.Read()
	if listed := snapshot.Endpoints[e.ID]; listed == nil || listed.Draining {
		return wasLeaving
	}
	beside := q.besides(snapshot, e)
	if len(beside) > 0 && !slices.ContainsFunc(beside, func(n *endpoint.Endpoint) bool { return q.ask(n) == Alive }) {
		return withDomain
	}
	return endedAlone
}

func (q *Inquiry) ask(e *endpoint.Endpoint) Finding {
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	return q.Ask(ctx, e)
}

// besides draws some endpoints that are lost together with e if its fabric domain is, or if it is in none, its data centre.
// Those that this node knows to have ended come last: of the domain they tell nothing new.
func (q *Inquiry) besides(s *endpoint.Snapshot, e *endpoint.Endpoint) []*endpoint.Endpoint {
	var out, ended []*endpoint.Endpoint
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, other := range s.Endpoints {
		together := other.Domain == e.Domain
		if e.Domain == "" {
			together = other.Zone == e.Zone
		}
		switch {
		case !together || other.ID == e.ID || other.Draining:
		case q.open[lifeOf(other)] != nil:
			ended = append(ended, other)
		default:
			out = append(out, other)
		}
	}
	shuffle(out)
	shuffle(ended)
	out = append(out, ended...)
	return out[:min(len(out), neighbours)]
}

func shuffle(list []*endpoint.Endpoint) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
