package follow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

// scriptedPeer answers pulls with all endpoints, or with the heads if only those needed for routing are requested.
type scriptedPeer struct {
	sequence   uint64
	all, heads []infra.Object
	routing    []bool // the routing argument of each pull
}

func (c *scriptedPeer) Pull(_ context.Context, _, _ string, since uint64, routing bool) (uint64, []infra.Object, error) {
	c.routing = append(c.routing, routing)
	switch {
	case since >= c.sequence:
		return since, nil, nil
	case routing:
		return c.sequence, c.heads, nil
	}
	return c.sequence, c.all, nil
}

func mirroredObjects(names ...string) []infra.Object {
	var out []infra.Object
	for i, name := range names {
		out = append(out, withMirrorVersion(object(name, int64(i+1))))
	}
	return out
}

func (f *Follower) endpointCount() int { return len(f.Mirror.List(keys.Endpoints)) }

// fullRelay returns a relay that keeps all endpoints.
func fullRelay(incarnation string, sequence uint64, proof time.Time) *gossip.Peer {
	p := watchingLeader(sequence, proof)
	p.Incarnation, p.Full, p.Routing = incarnation, true, sequence
	return p
}

func TestNodeThatIsNoRelayFetchesWhatItNeedsForRouting(t *testing.T) {
	c := &scriptedPeer{sequence: 3, all: mirroredObjects("member", "free", "head"), heads: mirroredObjects("member", "free", "head")[2:]}
	f := newTestFollower(c)
	f.KeepsAll = func() bool { return false }
	now := time.Now()
	f.applyBeat(context.Background(), fullRelay("x", 3, now))
	qt.Check(t, c.routing, qt.DeepEquals, []bool{true})
	qt.Check(t, f.endpointCount(), qt.Equals, 1)
	qt.Check(t, f.Full(), qt.IsFalse)
	qt.Check(t, f.Current(keys.Endpoints), qt.Equals, now, qt.Commentf("the endpoints that it holds are current"))

	ahead := fullRelay("x", 9, now.Add(time.Second))
	ahead.Routing = 3
	f.applyBeat(context.Background(), ahead)
	qt.Check(t, c.routing, qt.HasLen, 1, qt.Commentf("nothing needed for routing has changed"))
	qt.Check(t, f.Current(keys.Endpoints), qt.Equals, ahead.ProofAt)

	f.KeepsAll = func() bool { return true } // the node has become a relay
	f.applyBeat(context.Background(), fullRelay("x", 3, now.Add(2*time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 3)
	qt.Check(t, f.Full(), qt.IsTrue)

	f.KeepsAll = func() bool { return false } // the node is no longer a relay
	f.applyBeat(context.Background(), fullRelay("y", 3, now.Add(3*time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 1, qt.Commentf("endpoints that are no longer kept current are dropped"))
	qt.Check(t, f.Full(), qt.IsFalse)
}

// A relay that has started after the removal of an endpoint cannot report the removal.
func TestEndpointThatANewRelayNeverHadIsDropped(t *testing.T) {
	c := &scriptedPeer{sequence: 2, all: mirroredObjects("gone", "head")}
	f := newTestFollower(c)
	now := time.Now()
	f.applyBeat(context.Background(), fullRelay("x", 2, now))
	qt.Check(t, f.endpointCount(), qt.Equals, 2)
	c.all = mirroredObjects("", "", "head")[2:]
	f.applyBeat(context.Background(), fullRelay("y", 2, now.Add(time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 1)
}

// A node that watches the store does not drop endpoints because another node lacks them.
func TestWatcherKeepsWhatTheStoreHasListed(t *testing.T) {
	c := &scriptedPeer{sequence: 3, heads: mirroredObjects("", "", "head")[2:]}
	f := newTestFollower(c)
	f.KeepsAll = func() bool { return false }
	f.setWatching(true)
	f.Mirror.Put(mirroredObjects("member", "free", "head")...)
	f.proved(keys.Endpoints, time.Now())
	other := fullRelay("x", 3, time.Now().Add(time.Second))
	other.Full = false
	f.applyBeat(context.Background(), other)
	qt.Check(t, f.endpointCount(), qt.Equals, 3)
	qt.Check(t, f.Full(), qt.IsTrue)
	at, _ := f.Listed()
	qt.Check(t, at.IsZero(), qt.IsFalse)
	f.setWatching(false)
	at, _ = f.Listed()
	qt.Check(t, at.IsZero(), qt.IsTrue, qt.Commentf("from now on endpoints may be dropped because another node lacks them"))
}

// Guards against losing an endpoint for good: it is dropped because another node has not received it yet, and then must be
// fetched again from the node that has it, although nothing has changed there.
func TestEndpointThatAnotherNodeHasNotHeardOfYetIsFetchedAgain(t *testing.T) {
	c := &scriptedPeer{sequence: 2, all: mirroredObjects("head", "other")}
	f := newTestFollower(c)
	now := time.Now()
	f.applyBeat(context.Background(), fullRelay("x", 2, now))
	c.all = mirroredObjects("", "other")[1:]
	f.applyBeat(context.Background(), fullRelay("late", 2, now.Add(time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 1)
	c.all = mirroredObjects("head", "other")
	f.applyBeat(context.Background(), fullRelay("x", 2, now.Add(2*time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 2)
}

// mirrorPeer is another node with a mirror of its own.
type mirrorPeer struct{ *mirror.Mirror }

func (a mirrorPeer) Pull(_ context.Context, _, _ string, since uint64, routing bool) (uint64, []infra.Object, error) {
	const bytes = 1 << 20
	page := a.Page
	if routing {
		page = a.RoutingPage
	}
	objects, reached := page(since, bytes)
	return reached, objects, nil
}

// put stores an object and marks whether it is needed for routing.
func (a mirrorPeer) put(o infra.Object, routing bool) {
	a.Put(o)
	a.Mark(o, routing)
}

// Guards against a node that becomes a relay missing the endpoints that were dropped as not needed while it only routed. It then
// considered no replica group complete and refused its requests.
func TestNodeThatBecomesARelayFetchesWhatItDidNotNeedForRouting(t *testing.T) {
	a := mirrorPeer{mirror.New()}
	member, head := withMirrorVersion(object("member", 1)), withMirrorVersion(object("head", 2))
	a.put(member, true) // it served alone, or was assumed to
	f := newTestFollower(a)
	f.KeepsAll = func() bool { return false }
	now := time.Now()
	f.applyBeat(context.Background(), fullRelay("x", a.Sequence(), now))
	qt.Check(t, f.endpointCount(), qt.Equals, 1)
	member.Version = 6
	a.put(member, false)
	a.put(head, true)
	f.applyBeat(context.Background(), fullRelay("x", a.Sequence(), now.Add(time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 1, qt.Commentf("only the head is needed for routing"))
	f.KeepsAll = func() bool { return true }
	f.applyBeat(context.Background(), fullRelay("x", a.Sequence(), now.Add(2*time.Second)))
	qt.Check(t, f.Full(), qt.IsTrue)
	qt.Check(t, f.endpointCount(), qt.Equals, 2)
}

// Guards against a node that loses live endpoints, though its copy is proved to hold them, because a node with an older copy lacks them.
func TestEndpointThatANodeWithAnOlderCopyLacksIsKept(t *testing.T) {
	c := &scriptedPeer{sequence: 2, all: mirroredObjects("head", "other")}
	f := newTestFollower(c)
	now := time.Now()
	f.applyBeat(context.Background(), fullRelay("x", 2, now))
	c.all = mirroredObjects("", "other")[1:]
	f.applyBeat(context.Background(), fullRelay("older", 2, now.Add(-time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 2)
	at, _ := f.CurrentAll()
	qt.Check(t, at, qt.Equals, now)

	f.applyBeat(context.Background(), fullRelay("older", 2, now.Add(time.Second)))
	qt.Check(t, f.endpointCount(), qt.Equals, 1, qt.Commentf("its copy is the newer one now"))
	at, _ = f.CurrentAll()
	qt.Check(t, at, qt.Equals, now.Add(time.Second))
}
