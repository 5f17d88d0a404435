package follow

import (
	"context"
	"maps"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

// pulled is how far this node has another one's copy.
type pulled struct {
	sequence uint64
	routing  bool // only what is needed for routing
}

// Full reports whether the copy holds all endpoints. That of a node that is neither a relay nor watches the store holds those
// only that take requests: heads of open groups and endpoints that serve alone. At 986 nodes and 3,064 endpoints that is a
// sixth of the entries, and none of the changes that endpoints go through until they serve.
func (f *Follower) Full() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.full
}

// take takes in a beat: its proof if this node has what it is of, which is fetched before if need be.
func (f *Follower) take(ctx context.Context, p *gossip.Peer) {
	at, _ := f.proof.whole()
	source := p.Watching || p.Upstream
	if !p.ProofAt.After(at) && !source {
		return
	}
	wantsFull := f.KeepsAll() || f.watches()
	routing := !wantsFull || !p.Full
	wanted := p.Sequence
	if routing && p.Routing > 0 {
		wanted = p.Routing
	}
	f.mu.Lock()
	have, known := f.pulled[p.Incarnation]
	f.mu.Unlock()
	if have.routing != routing {
		have, known = pulled{routing: routing}, false
	}
	if known && have.sequence >= wanted {
		f.proof.fromPeer(p.ProofAt)
		return
	}
	if !source && p.ProofAt.Sub(at) < staleMargin {
		return
	}
	if routing {
		f.setFull(false)
	}
	reconcile := have.sequence == 0 && routing != wantsFull
	if !f.pull(ctx, p, have, wanted, reconcile) {
		return
	}
	if !routing {
		f.setFull(true)
	}
	f.proof.fromPeer(p.ProofAt)
}

// setFull notes whether the copy holds all endpoints, unless this node watches them and has them all from the store.
func (f *Follower) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full || f.watching && f.full
}

// watches reports whether this node watches the endpoints in the store.
func (f *Follower) watches() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching
}

// watch notes that this node begins to watch the endpoints in the store, with a list of all, or has ended.
func (f *Follower) watch(watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = watching
	if !watching {
		f.listed = listed{}
	}
}

// reconcile drops endpoints that another node does not have any more. While this one watches it knows better. The other node may
// only not have heard of one yet: what else has been fetched is fetched anew then, because whoever told of that endpoint would
// not tell again of what has not changed, and a head that was dropped so was never listed again.
func (f *Follower) reconcile(incarnation string, all reconciliation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching {
		return
	}
	forgotten := f.Mirror.Forget(keys.Endpoints, all.lacks)
	if len(forgotten) == 0 {
		return
	}
	_ = level.Info(f.logger).Log("msg", "endpoints forgotten", "by_word_of", incarnation, "keys", len(forgotten), "first", forgotten[0])
	maps.DeleteFunc(f.pulled, func(other string, _ pulled) bool { return other != incarnation })
}

// pull fetches from a node, reply by reply, what this one lacks of what it had when it sent its beat, and reports whether
// that is complete. What a reply has brought is kept though a later one fails. With reconcile set the replies hold everything
// that the node has, and endpoints are dropped that are not in it.
func (f *Follower) pull(ctx context.Context, p *gossip.Peer, have pulled, wanted uint64, reconcile bool) bool {
	var all reconciliation
	for {
		sequence, objects, err := f.pullOnce(ctx, p, have)
		if err != nil {
			return false
		}
		f.Mirror.Put(objects...)
		if reconcile {
			all.add(objects)
		}
		f.mu.Lock()
		f.pulled[p.Incarnation] = pulled{sequence, have.routing}
		f.mu.Unlock()
		if sequence < wanted && sequence > have.sequence {
			have.sequence = sequence
			continue
		}
		if sequence >= wanted && reconcile {
			f.reconcile(p.Incarnation, all)
		}
		return sequence >= wanted
	}
}

func (f *Follower) pullOnce(ctx context.Context, p *gossip.Peer, have pulled) (uint64, []infra.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait)
	defer cancel()
	return f.puller.Pull(ctx, p.PeerAddress, p.Incarnation, have.sequence, have.routing)
}

// reconciliation finds what another node does not have any more, which it cannot tell if it never had it or has started since.
type reconciliation struct {
	seen   map[string]bool
	newest int64 // version
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

// lacks reports whether the other node does not have an object though it has later ones.
func (r *reconciliation) lacks(o infra.Object) bool { return !r.seen[o.Key] && o.Version < r.newest }
