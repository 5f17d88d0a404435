// Package follow keeps a node's copy of the platform's objects and knows how current it is.
//
// Few nodes watch the store itself: the leader, and whoever hears of nobody that is current. The others pull
// what has changed from those. A copy is proved current by the instant before the store was asked; a relayed
// proof counts from the sending of the beat that the relay has echoed, so that no clocks are compared.
package follow

import (
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
	// watchWait is how long one watch waits. The proof is twice as old at the most while the store answers.
	watchWait       = 450 * time.Millisecond
	endpointsGather = 60 * time.Millisecond
	// patience is how old the proof may get before a relay watches the store by itself, plus rankPatience for each live relay
	// that would do so sooner, and ranksPatience for all of them at the most: the last is to watch before the proof is too old.
	patience      = 1100 * time.Millisecond
	rankPatience  = 150 * time.Millisecond
	ranksPatience = 1500 * time.Millisecond
	// reporterPatience is how old the proof of a node may get that is no relay. Relays are asked to watch for it: when the
	// leader has died the first of them does so within patience, and an idle node hears of it half a second later. It is less
	// than the 0.6 of five seconds after which a node that needs a proof takes no new callers.
	reporterPatience = 2800 * time.Millisecond
	// pullWait bounds the fetching of what has changed from another node.
	pullWait = time.Second
	// turnOfNode is how often the nodes of a fleet together ask the store where one of them is enough, because it tells the
	// others: on average one of them each such while. While the store was away for 11 s, 71 nodes that each asked twice a
	// second for each prefix made 2,700 calls, of the 3,900 of 55 s.
	turnOfNode = 100 * time.Millisecond
	// staleMargin is how much fresher a node must be that does not watch, for this one to pull from it.
	staleMargin = 500 * time.Millisecond
)

// Puller fetches what another node has taken in since a sequence of its own, or of that what is needed for routing.
type Puller interface {
	Pull(ctx context.Context, address, incarnation string, since uint64, routing bool) (sequence uint64, objects []infra.Object, err error)
}

// Follower keeps the copy.
type Follower struct {
	Mirror *mirror.Mirror
	// Beat is how often endpoints write their entries in the store.
	Beat time.Duration
	// StartPatience returns how long a new process waits for the beats of others before it asks the store.
	StartPatience func() time.Duration
	// Relaying reports whether this node passes on what others tell; it watches the store sooner then than one that does not.
	Relaying func() bool
	// Others returns how many other nodes the fleet has; this one may hear of some only.
	Others func(now time.Time) int
	// KeepsAll reports whether this node keeps all endpoints also when it does not watch the store.
	KeepsAll func() bool

	objects infra.ObjectStore
	puller  Puller
	leads   func() bool
	live    func(now time.Time) []*gossip.Peer
	self    string
	logger  log.Logger
	started time.Time
	draw    float64 // 0 to 1, by chance
	proof   *proof
	also    []string // prefixes beside the configuration and the endpoints
	beats   chan *gossip.Peer

	mu     sync.Mutex
	pulled map[string]pulled // by incarnation
	lost   map[string]bool   // prefixes that the store does not give
	answer time.Time         // last of the store
	full   bool              // the copy holds all endpoints
	// watching says that this node lists and watches the endpoints in the store.
	watching bool
	listed   listed
}

// NewFollower returns a Follower for the node self; leads says whether it is the leader.
func NewFollower(objects infra.ObjectStore, puller Puller, self string, leads func() bool, live func(now time.Time) []*gossip.Peer, logger log.Logger) *Follower {
	f := &Follower{
		Mirror: mirror.New(), objects: objects, puller: puller, leads: leads, live: live, self: self, logger: logger,
		StartPatience: func() time.Duration { return 0 }, Relaying: func() bool { return true }, KeepsAll: func() bool { return true },
		draw:    rand.Float64(), //nolint:gosec // spreads questions
		started: clock.Now(), proof: newProof(keys.Accepted, keys.Endpoints), beats: make(chan *gossip.Peer, 64),
		pulled: make(map[string]pulled), lost: make(map[string]bool),
	}
	f.Others = func(now time.Time) int { return len(live(now)) }
	return f
}

// Also lets the copy hold the objects below further prefixes; call it before Run.
func (f *Follower) Also(prefixes ...string) {
	f.also = append(f.also, prefixes...)
	f.proof = newProof(append([]string{keys.Accepted, keys.Endpoints}, f.also...)...)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var g errgroup.Group
	sources := []*source{
		{prefix: keys.Accepted, wait: watchWait, probes: true},
		{prefix: keys.Endpoints, wait: watchWait, gather: endpointsGather, lapses: true, absent: absentees{beat: f.Beat}},
	}
	for _, prefix := range f.also {
		sources = append(sources, &source{prefix: prefix, wait: watchWait})
	}
	for _, s := range sources {
		s.objects, s.mirror, s.wanted = f.objects, f.Mirror, f.shouldWatch
		s.proved, s.failed = f.proved, f.failed
		if s.prefix == keys.Endpoints {
			s.watching = f.watch
		}
		s.turn, s.answered, s.insists = f.turn, f.answered, f.insists
		s.age = func(now time.Time) time.Duration { return now.Sub(f.Current(s.prefix)) }
		g.Go(func() error { return s.run(ctx) })
	}
	g.Go(func() error { f.takeBeats(ctx); return nil })
	return g.Wait()
}

func (f *Follower) proved(prefix string, at time.Time) {
	f.proof.fromStore(prefix, at)
	f.mu.Lock()
	if prefix == keys.Endpoints {
		f.full = true
		f.listed = listed{at, f.Mirror.Sequence()}
	}
	was := f.lost[prefix]
	f.lost[prefix] = false
	f.answer = clock.Now()
	f.mu.Unlock()
	if was {
		_ = level.Info(f.logger).Log("msg", "dependency regained", "dependency", "store", "prefix", prefix)
	}
}

func (f *Follower) failed(prefix string, err error) {
	f.mu.Lock()
	was := f.lost[prefix]
	f.lost[prefix] = true
	f.mu.Unlock()
	if !was {
		_ = level.Warn(f.logger).Log("msg", "dependency lost", "dependency", "store", "prefix", prefix, "err", err)
	}
}

// turn returns after how long this node asks a store again that does not answer, if it has drawn that number. The leader and
// a node that hears no other ask at once. Others wait for their turn also when they have had no copy yet: whoever is answered
// tells the rest, and all nodes of a fleet that starts asking at once is what the store could not answer.
func (f *Follower) turn(draw float64) time.Duration {
	if f.leads() {
		return 0
	}
	now := clock.Now()
	others := f.Others(now)
	if f.Relaying() {
		others = f.otherRelays(now)
	}
	return time.Duration(2 * draw * float64(others) * float64(turnOfNode))
}

// insists reports whether this node has to know whether the store answers it, though others tell what is there: a relay may
// have to lead next. If all 986 nodes of a fleet insisted, each return of the store cost some 9,000 calls.
func (f *Follower) insists() bool { return f.leads() || f.Relaying() }

// answered returns when the store has last answered this node.
func (f *Follower) answered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answer
}

// shouldWatch reports whether this node watches the store itself now. One that is watching goes on until another watches. One
// that has left it to another begins anew only when its proof has grown old: each beginning is a list of everything, and a
// watcher's proof is now and then a little older than this node bears.
func (f *Follower) shouldWatch(watching bool) bool {
	if f.leads() {
		return true
	}
	now := clock.Now()
	at, _ := f.proof.whole()
	switch {
	case at.IsZero():
		return now.Sub(f.started) > f.StartPatience() && !f.watched(now)
	case watching:
		return !f.watched(now)
	case now.Sub(at) <= patience: // said first, because it holds nearly always and takes no look at the fleet
		return false
	case !f.Relaying():
		return now.Sub(at) > reporterPatience+time.Duration(f.draw*float64(f.Others(now))*float64(turnOfNode))
	}
	return now.Sub(at) > patience+f.rankWait(now) && !f.watched(now)
}

// watched reports whether another node watches the store for all. One that is no relay does not hear who watches, but that
// its relay is current while somebody leads. What it hears of that is some half a second older than what a relay hears: an
// idle node that asked for as much as a relay and had once begun to watch found it too old each time, and went on for good
// with 6.6 calls a second.
func (f *Follower) watched(now time.Time) bool {
	bears := patience
	if !f.Relaying() {
		bears = reporterPatience
	}
	led, upstream := false, false
	for _, p := range f.live(now) {
		current := now.Sub(p.ProofAt) < bears
		if p.Watching && current && (p.LeaderEpoch > 0 || p.VM < f.self) {
			return true
		}
		led = led || p.LeaderEpoch > 0
		upstream = upstream || p.Upstream && current
	}
	return led && upstream
}

// rankWait is how long this relay leaves it to others to watch the store first.
func (f *Follower) rankWait(now time.Time) time.Duration {
	relays, sooner := 1+f.otherRelays(now), 0
	for _, p := range f.live(now) {
		if p.Relay && p.VM < f.self {
			sooner++
		}
	}
	return min(time.Duration(sooner)*rankPatience, ranksPatience*time.Duration(sooner)/time.Duration(relays))
}

func (f *Follower) otherRelays(now time.Time) int {
	n := 0
	for _, p := range f.live(now) {
		if p.Relay {
			n++
		}
	}
	return n
}

// Heard takes in a beat; it never blocks.
func (f *Follower) Heard(p *gossip.Peer) {
	if p.ProofAt.IsZero() {
		return
	}
	select {
	case f.beats <- p:
	default: // the next beat says the same
	}
}

func (f *Follower) takeBeats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.beats:
			f.take(ctx, p)
		}
	}
}

// Current returns an instant as of which the objects below the prefix are certainly current.
func (f *Follower) Current(prefix string) time.Time { return f.proof.of(prefix) }

// Listed returns an instant as of which the store itself has told this node all endpoints, and the sequence that the copy had
// reached then.
func (f *Follower) Listed() (at time.Time, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed.at, f.listed.sequence
}

// listed is what the store itself has told last of the endpoints.
type listed struct {
	at       time.Time
	sequence uint64
}

// Whole returns the instant for everything, and whether the store itself gave it.
func (f *Follower) Whole() (at time.Time, watching bool) { return f.proof.whole() }

// StoreAnswers reports whether the store does not refuse this node, as far as it has asked lately.
func (f *Follower) StoreAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, lost := range f.lost {
		if lost {
			return false
		}
	}
	return true
}
