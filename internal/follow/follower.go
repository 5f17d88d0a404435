// Package follow maintains a node's copy of the platform's objects and tracks how current it is.
//
// Few nodes watch the store itself: the leader, and nodes that have found no current watcher. The others pull changes
// from them. The proof of a copy is the time as of which it is certainly current, the time before the store was
// queried. A proof relayed by another node counts from the sending of the heartbeat that the relay has echoed, so
// that no clocks are compared.
package follow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

const (
	// watchTimeout is how long one watch waits for changes. While the store answers, the proof is at most twice as old.
	watchTimeout        = 450 * time.Millisecond
	endpointsBatchDelay = 60 * time.Millisecond
	// relayMaxProofAge is how old the proof may get before a relay watches the store itself. delayPerRank is added to it for
	// each live relay that would do so sooner, but at most maxRankDelay for all of them, so that the last one watches before the
	// proof is too old.
	relayMaxProofAge = 1100 * time.Millisecond
	delayPerRank     = 150 * time.Millisecond
	maxRankDelay     = 1500 * time.Millisecond
	// reporterMaxProofAge is how old the proof of a reporter, a node that is no relay, may get before it watches the store
	// itself. Relays should watch for it: when the leader has died, the first of them does so within relayMaxProofAge, and an
	// idle node receives the new proof half a second later. It is less than the 0.6 of five seconds after which a node that needs a proof
	// accepts no new callers.
	reporterMaxProofAge = 2800 * time.Millisecond
	// pullTimeout bounds one request for changes to another node.
	pullTimeout = time.Second
	// fleetQueryInterval is the average interval between queries to the store by all nodes of a fleet together, for queries
	// that one node can make for all because it passes the answer on. While the store was unavailable for 11 s, 71 nodes that
	// each queried it twice a second for each prefix made 2,700 calls, of 3,900 in 55 s.
	fleetQueryInterval = 100 * time.Millisecond
	// minProofGain is how much newer the proof of a node that neither watches the store nor is this node's relay must be for
	// this node to pull from it.
	minProofGain = 500 * time.Millisecond
)

// Puller fetches the changes that another node has stored after a sequence of its mirror, or only those needed for routing,
// and the sequence that they reach.
type Puller interface {
	Pull(ctx context.Context, address, incarnation string, since uint64, routing bool) (sequence uint64, objects []infra.Object, err error)
}

// Follower maintains the copy in Mirror.
type Follower struct {
	Mirror *mirror.Mirror
	// Beat is the interval at which endpoints write their entries to the store.
	Beat time.Duration
	// StoreRecovery is how long after the store's return, or after the path to it is whole again, this node has applied what it missed;
	// 0 is defaultStoreRecovery.
	StoreRecovery time.Duration
	// StartDelay returns how long a new process waits for heartbeats of other nodes before it queries the store.
	StartDelay func() time.Duration
	// Relaying reports whether this node is a relay, which watches the store sooner than other nodes.
	Relaying func() bool
	// Others returns how many other nodes the fleet has, including those that this node does not hear from.
	Others func(now time.Time) int
	// KeepsAll reports whether this node keeps all endpoints even while it does not watch the store.
	KeepsAll func() bool
	// Supersedes reports whether a listed object is certainly newer than the one that this node holds, whatever their versions; nil
	// if that cannot be told.
	Supersedes func(listed, held infra.Object) bool
	// OnOlder, if not nil, is called with the number of objects from a source, the store or another node, that were older than those of
	// the copy and therefore dropped.
	OnOlder func(source string, n int)
	// OnHeld, if not nil, is called with the numbers of changes that have been held back and now count, and of those that later ones
	// replaced meanwhile.
	OnHeld func(applied, dropped int)

	objects       infra.ObjectStore
	puller        Puller
	leads         func() bool
	live          func(now time.Time) []*gossip.Peer
	self          string
	logger        log.Logger
	started       time.Time
	jitter        float64 // random number from 0 to 1
	proof         *proof
	recovery      *recovery
	extraPrefixes []string // prefixes besides the configuration and the endpoints
	beats         chan *gossip.Peer
	heldPulls     heldChanges // what other nodes have told
	peerPulls     *peerPulls

	mu         sync.Mutex
	pulled     map[string]pullProgress   // by incarnation of the other node
	failing    map[string]*queryFailures // by prefix; nil if the last query to the store did not fail
	lastAnswer time.Time                 // when the store last answered this node
	full       bool                      // the copy holds all endpoints
	// watching is set while this node itself lists and watches the endpoints in the store.
	watching    bool
	lastListing storeListing
}

// NewFollower returns a Follower for the node self; leads reports whether it is the leader.
func NewFollower(objects infra.ObjectStore, puller Puller, self string, leads func() bool, live func(now time.Time) []*gossip.Peer, logger log.Logger) *Follower {
	f := &Follower{
		Mirror: mirror.New(), objects: objects, puller: puller, leads: leads, live: live, self: self, logger: logger,
		StartDelay: func() time.Duration { return 0 }, Relaying: func() bool { return true }, KeepsAll: func() bool { return true },
		jitter:  rand.Float64(), //nolint:gosec // spreads queries over time, not security relevant
		started: clock.Now(), proof: newProof(keys.Accepted, keys.Endpoints), beats: make(chan *gossip.Peer, 64), peerPulls: newPeerPulls(),
		pulled: make(map[string]pullProgress), failing: make(map[string]*queryFailures),
	}
	f.Others = func(now time.Time) int { return len(live(now)) }
	f.recovery = &recovery{othersUnserved: f.othersUnserved, takesTurns: f.takesTurns}
	return f
}

// othersUnserved reports whether this node hears others, none of which the store has answered lately.
func (f *Follower) othersUnserved(now time.Time) bool {
	heard := false
	for _, p := range f.live(now) {
		if p.ProofAt.IsZero() {
			continue
		}
		if now.Sub(p.ProofAt) <= outageAge {
			return false
		}
		heard = true
	}
	return heard
}

// AddPrefixes makes the copy include the objects below further prefixes. It must be called before Run.
func (f *Follower) AddPrefixes(prefixes ...string) {
	f.extraPrefixes = append(f.extraPrefixes, prefixes...)
	f.proof = newProof(append([]string{keys.Accepted, keys.Endpoints}, f.extraPrefixes...)...)
}

// Run keeps the copy current until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var g errgroup.Group
	sources := []*source{
		{prefix: keys.Accepted, wait: watchTimeout, probes: true},
		{prefix: keys.Endpoints, wait: watchTimeout, batchDelay: endpointsBatchDelay, entriesExpire: true},
	}
	for _, prefix := range f.extraPrefixes {
		sources = append(sources, &source{prefix: prefix, wait: watchTimeout})
	}
	f.report(&f.heldPulls, "node")
	f.recovery.grace, f.recovery.limit = f.heldPulls.grace(), cmp.Or(f.StoreRecovery, defaultStoreRecovery)
	for _, s := range sources {
		s.recovery, s.supersedes = f.recovery, f.Supersedes
		f.report(&s.held, "store")
		s.objects, s.mirror, s.wanted = f.objects, f.Mirror, f.shouldWatch
		s.proved, s.failed = f.proved, f.failed
		s.dropped, s.wentBack = func(n int) { f.noteOlder(olderFromStore, n) }, f.storeWentBack
		if s.prefix == keys.Endpoints {
			s.watching = f.setWatching
		}
		s.queryDelay, s.lastAnswered, s.mustProbe = f.queryDelay, f.lastAnswered, f.mustProbe
		s.proofAge = func(now time.Time) time.Duration { return now.Sub(f.Current(s.prefix)) }
		g.Go(func() error { return s.run(ctx) })
	}
	g.Go(func() error { f.applyBeats(ctx); return nil })
	return g.Wait()
}

// Sources of objects that are older than those of the copy.
const (
	olderFromStore = "store"
	olderFromNode  = "node"
)

// noteOlder reports objects that were dropped because the copy has later versions.
func (f *Follower) noteOlder(source string, n int) {
	if n > 0 && f.OnOlder != nil {
		f.OnOlder(source, n)
	}
}

// report makes changes that are held back known to operators; from is where they were received from.
func (f *Follower) report(held *heldChanges, from string) {
	held.beat = f.Beat
	held.onHold = func(h holdStart) {
		_ = level.Info(f.logger).Log("msg", "changes are held back", "from", from, "reason", h.reason, "first", h.firstKey, "limit_ms", h.limit.Milliseconds())
	}
	held.onEnd = func(h holdEnd) {
		_ = level.Info(f.logger).Log("msg", "changes are no longer held back", "from", from, "held_ms", h.held.Milliseconds(), "applied", h.applied, "dropped", h.dropped)
		if f.OnHeld != nil {
			f.OnHeld(h.applied, h.dropped)
		}
	}
}

// storeWentBack logs that the store has listed an older state than before. The copy keeps the later versions.
func (f *Follower) storeWentBack(prefix string, to, from int64) {
	_ = level.Warn(f.logger).Log("msg", "the store answered from an older state; later versions are kept", "prefix", prefix,
		"revision", infra.RevisionOf(to), "known_revision", infra.RevisionOf(from), "era", infra.EraOf(to))
}

// EnqueueBeat passes a heartbeat of another node to Run; it never blocks.
func (f *Follower) EnqueueBeat(p *gossip.Peer) {
	if p.ProofAt.IsZero() {
		return
	}
	if at, _ := f.proof.currentAll(); p.ProofAt.Sub(at) >= minProofGain {
		f.peerPulls.lack(p.Incarnation, clock.Now())
	}
	select {
	case f.beats <- p:
	default: // the next heartbeat has the same content
	}
}

func (f *Follower) applyBeats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.beats:
			f.applyBeat(ctx, p)
		}
	}
}

// Current returns a time as of which the objects below the prefix are certainly current.
func (f *Follower) Current(prefix string) time.Time { return f.proof.current(prefix) }

// LastAnswers returns when the store and when another node last answered this node; zero if never.
func (f *Follower) LastAnswers() (store, peer time.Time) {
	return f.lastAnswered(), f.peerPulls.lastAnswer()
}

// Listed returns a time as of which this node has received all endpoints from the store itself, and the sequence that the
// mirror had reached then.
func (f *Follower) Listed() (at time.Time, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastListing.at, f.lastListing.sequence
}

// storeListing records as of when, and up to which sequence of the mirror, the endpoints were received from the store itself.
type storeListing struct {
	at       time.Time
	sequence uint64
}

// CurrentAll returns a time as of which the objects below all prefixes are certainly current, and whether it was obtained from
// the store itself.
func (f *Follower) CurrentAll() (at time.Time, watching bool) { return f.proof.currentAll() }
