package follow

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

// pullProgress is the sequence up to which this node has pulled another node's copy.
type pullProgress struct {
	sequence uint64
	routing  bool // only objects needed for routing have been pulled
	// unreconciled is set if endpoints that the other node lacks were kept, because its copy was older than this node's.
	unreconciled bool
}

// Full reports whether the copy holds all endpoints. The copy of a node that is neither a relay nor watches the store holds only
// the endpoints that take requests: heads of open groups and endpoints that serve alone. With 986 nodes and 3,064 endpoints that
// is a sixth of the entries, and none of the changes that endpoints go through before they serve.
func (f *Follower) Full() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.full
}

// applyBeat processes a heartbeat. It accepts the heartbeat's proof if this node has the state that it proves, which it pulls
// first if necessary.
func (f *Follower) applyBeat(ctx context.Context, p *gossip.Peer) {
	at, _ := f.proof.currentAll()
	isSource := p.Watching || p.Upstream
	if !p.ProofAt.After(at) && !isSource {
		f.peerPulls.unneeded(p.Incarnation, clock.Now())
		return
	}
	needsFull := f.KeepsAll() || f.isWatching()
	routing := !needsFull || !p.Full
	wanted := p.Sequence
	if routing && p.Routing > 0 {
		wanted = p.Routing
	}
	f.mu.Lock()
	have, known := f.pulled[p.Incarnation]
	f.mu.Unlock()
	newer := p.ProofAt.After(at)
	if have.routing != routing || have.unreconciled && newer {
		have, known = pullProgress{routing: routing}, false
	}
	if known && have.sequence >= wanted {
		f.caughtUp(p)
		f.provedBy(p)
		return
	}
	if !isSource && p.ProofAt.Sub(at) < minProofGain {
		f.peerPulls.unneeded(p.Incarnation, clock.Now())
		return
	}
	if mayPull := f.peerPulls.lack(p.Incarnation, clock.Now()); !mayPull {
		return
	}
	if routing {
		f.setFull(false)
	}
	reconcile := have.sequence == 0 && routing != needsFull
	if have.sequence == 0 {
		have.unreconciled = reconcile && !newer
	}
	reconcile = reconcile && newer
	if !f.pull(ctx, p, have, wanted, reconcile) {
		return
	}
	if !routing {
		f.setFull(true)
	}
	f.caughtUp(p)
	f.provedBy(p)
}

// provedBy records the proof of another node of which this node lacks nothing.
func (f *Follower) provedBy(p *gossip.Peer) {
	f.recovery.toldByNode(p.ProofAt, clock.Now())
	f.proof.fromPeer(p.ProofAt)
}

// caughtUp records that this node lacks nothing that another node announces.
func (f *Follower) caughtUp(p *gossip.Peer) {
	if f.peerPulls.caughtUp(p.Incarnation) {
		_ = level.Info(f.logger).Log("msg", "changes are pulled again", "from", p.VM)
	}
}

// pullFailed records that a pull from another node has failed.
func (f *Follower) pullFailed(p *gossip.Peer, started time.Time, err error) {
	now := clock.Now()
	if f.peerPulls.failed(p.Incarnation, started, now) {
		_ = level.Warn(f.logger).Log("msg", "changes cannot be pulled although heartbeats arrive", "from", p.VM, "address", p.PeerAddress,
			"for", f.peerPulls.lag(p.Incarnation, now), "err", err)
	}
}

// setFull records whether the copy holds all endpoints, unless this node watches them and has them all from the store.
func (f *Follower) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full || f.watching && f.full
}

// isWatching reports whether this node itself watches the endpoints in the store.
func (f *Follower) isWatching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching
}

// setWatching records that this node has started to watch the endpoints in the store, beginning with a list of all, or has
// stopped.
func (f *Follower) setWatching(watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = watching
	if !watching {
		f.lastListing = storeListing{}
	}
}

// dropMissing drops endpoints that another node with a newer copy no longer has, unless this node watches the store itself, which is
// authoritative. The other node may merely not have received an endpoint yet, so the copies of all other nodes are then pulled
// again from the start: the node that sent the endpoint would not send it again until it changes, and the head of a group that
// had been dropped for that reason was never listed again.
func (f *Follower) dropMissing(incarnation string, all reconciliation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching {
		return
	}
	dropped := f.Mirror.Forget(keys.Endpoints, all.lacks)
	if len(dropped) == 0 {
		return
	}
	_ = level.Info(f.logger).Log("msg", "endpoints dropped that another node no longer has", "by_word_of", incarnation, "keys", len(dropped), "first", dropped[0])
	maps.DeleteFunc(f.pulled, func(other string, _ pullProgress) bool { return other != incarnation })
}

// pull fetches, reply by reply, the changes that another node had when it sent its heartbeat and this node lacks, and reports
// whether it has got all of them. The content of a reply is kept even if a later one fails. With reconcile set, the replies
// hold everything that the other node has, and endpoints that they do not contain are dropped.
func (f *Follower) pull(ctx context.Context, p *gossip.Peer, have pullProgress, wanted uint64, reconcile bool) bool {
	var all reconciliation
	for {
		started := clock.Now()
		sequence, objects, err := f.pullOnce(ctx, p, have)
		if err != nil {
			f.pullFailed(p, started, err)
			return false
		}
		f.peerPulls.answered(p.Incarnation, sequence > have.sequence, clock.Now())
		f.storePulled(objects)
		if reconcile {
			all.add(objects)
		}
		f.mu.Lock()
		f.pulled[p.Incarnation] = pullProgress{sequence, have.routing, have.unreconciled}
		f.mu.Unlock()
		if sequence < wanted && sequence > have.sequence {
			have.sequence = sequence
			continue
		}
		if sequence >= wanted && reconcile {
			f.dropMissing(p.Incarnation, all)
		}
		return sequence >= wanted
	}
}

// storePulled stores what another node has told. That node may have listed a store that came back from a copy and had nothing to
// compare it with: what may be older than what this node had before is held back, as if this node had listed it.
func (f *Follower) storePulled(objects []infra.Object) {
	now := clock.Now()
	taken := make([]infra.Object, 0, len(objects))
	for _, o := range objects {
		held, known := f.Mirror.Get(o.Key)
		if known && infra.EraOf(Version(o)) > infra.EraOf(Version(held)) && !f.isFreshPull(o, held) {
			f.holdPulled(o, now)
			continue
		}
		f.heldPulls.forget(o.Key)
		taken = append(taken, o)
	}
	_, older := f.Mirror.Update(taken)
	f.noteOlder(olderFromNode, older)
	f.releaseHeld(now)
}

// isFreshPull reports whether a pulled object of a later era is what this node holds, or was certainly written later.
func (f *Follower) isFreshPull(o, held infra.Object) bool {
	return !o.Deleted && isSameOrLater(Version(o), Version(held), o, held, f.Supersedes)
}

// holdPulled holds a pulled object back. The time for which all are held back begins with the first.
func (f *Follower) holdPulled(o infra.Object, now time.Time) {
	if f.heldPulls.isEmpty() {
		f.heldPulls.start(now, storeFromCopy)
	}
	f.heldPulls.add(o)
}

// releaseHeld stores the pulled objects that have been held back for long enough, and the others when they are due.
func (f *Follower) releaseHeld(now time.Time) {
	f.Mirror.Put(f.heldPulls.due(now)...)
	f.heldPulls.releaseWhenDue(func() { f.releaseHeld(clock.Now()) })
}

func (f *Follower) pullOnce(ctx context.Context, p *gossip.Peer, have pullProgress) (uint64, []infra.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return f.puller.Pull(ctx, p.PeerAddress, p.Incarnation, have.sequence, have.routing)
}

// reconciliation finds objects that another node no longer has. The other node cannot report their removal if it never had them
// or has restarted since.
type reconciliation struct {
	seen   map[string]bool
	newest int64 // highest version of the other node's objects
}

func (r *reconciliation) add(objects []infra.Object) {
	if r.seen == nil {
		r.seen = make(map[string]bool, len(objects))
	}
	for _, o := range objects {
		r.seen[o.Key] = true
		r.newest = max(r.newest, o.Version)
	}
}

// lacks reports whether the other node does not have an object although it has newer ones.
func (r *reconciliation) lacks(o infra.Object) bool { return !r.seen[o.Key] && o.Version < r.newest }
