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

// copies gives all endpoints, or those that are needed for routing.
type copies struct {
	sequence          uint64
	everything, heads []infra.Object
	routing           []bool // what was asked for
}

func (c *copies) Pull(_ context.Context, _, _ string, since uint64, routing bool) (uint64, []infra.Object, error) {
	c.routing = append(c.routing, routing)
	switch {
	case since >= c.sequence:
		return since, nil, nil
	case routing:
		return c.sequence, c.heads, nil
	}
	return c.sequence, c.everything, nil
}

func entries(names ...string) []infra.Object {
	var out []infra.Object
	for i, name := range names {
		out = append(out, ordered(object(name, int64(i+1))))
	}
	return out
}

func (f *Follower) has() int { return len(f.Mirror.List(keys.Endpoints)) }

// full is a relay that keeps everything.
func full(incarnation string, sequence uint64, proof time.Time) *gossip.Peer {
	p := watcher(sequence, proof)
	p.Incarnation, p.Full, p.Routing = incarnation, true, sequence
	return p
}

func TestNodeThatIsNoRelayFetchesWhatItNeedsForRouting(t *testing.T) {
	c := &copies{sequence: 3, everything: entries("member", "free", "head"), heads: entries("member", "free", "head")[2:]}
	f := newTestFollower(c)
	f.KeepsAll = func() bool { return false }
	now := time.Now()
	f.take(context.Background(), full("x", 3, now))
	qt.Check(t, c.routing, qt.DeepEquals, []bool{true})
	qt.Check(t, f.has(), qt.Equals, 1)
	qt.Check(t, f.Full(), qt.IsFalse)
	qt.Check(t, f.Current(keys.Endpoints), qt.Equals, now, qt.Commentf("what it has of it is current"))

	ahead := full("x", 9, now.Add(time.Second))
	ahead.Routing = 3
	f.take(context.Background(), ahead)
	qt.Check(t, c.routing, qt.HasLen, 1, qt.Commentf("nothing that it needs has changed"))
	qt.Check(t, f.Current(keys.Endpoints), qt.Equals, ahead.ProofAt)

	f.KeepsAll = func() bool { return true } // it has become a relay
	f.take(context.Background(), full("x", 3, now.Add(2*time.Second)))
	qt.Check(t, f.has(), qt.Equals, 3)
	qt.Check(t, f.Full(), qt.IsTrue)

	f.KeepsAll = func() bool { return false } // and is none any more
	f.take(context.Background(), full("y", 3, now.Add(3*time.Second)))
	qt.Check(t, f.has(), qt.Equals, 1, qt.Commentf("what nobody keeps current any more is dropped"))
	qt.Check(t, f.Full(), qt.IsFalse)
}

// A relay that has started since an endpoint was removed does not know that it ever was.
func TestEndpointThatTheNextRelayNeverKnewIsDropped(t *testing.T) {
	c := &copies{sequence: 2, everything: entries("gone", "head")}
	f := newTestFollower(c)
	now := time.Now()
	f.take(context.Background(), full("x", 2, now))
	qt.Check(t, f.has(), qt.Equals, 2)
	c.everything = entries("", "", "head")[2:]
	f.take(context.Background(), full("y", 2, now.Add(time.Second)))
	qt.Check(t, f.has(), qt.Equals, 1)
}

// One that watches the store has everything from there and drops nothing by what others have.
func TestWatcherKeepsWhatTheStoreHasTold(t *testing.T) {
	c := &copies{sequence: 3, heads: entries("", "", "head")[2:]}
	f := newTestFollower(c)
	f.KeepsAll = func() bool { return false }
	f.watch(true)
	f.Mirror.Put(entries("member", "free", "head")...)
	f.proved(keys.Endpoints, time.Now())
	other := full("x", 3, time.Now().Add(time.Second))
	other.Full = false
	f.take(context.Background(), other)
	qt.Check(t, f.has(), qt.Equals, 3)
	qt.Check(t, f.Full(), qt.IsTrue)
	at, _ := f.Listed()
	qt.Check(t, at.IsZero(), qt.IsFalse)
	f.watch(false)
	at, _ = f.Listed()
	qt.Check(t, at.IsZero(), qt.IsTrue, qt.Commentf("others may now drop what it had"))
}

// A node that has not heard yet of what another has told does not make that be lost for good: what is dropped by its word is
// fetched again from the other, though that has had no change since.
func TestEndpointThatAnotherNodeHasNotHeardOfYetIsFetchedAgain(t *testing.T) {
	c := &copies{sequence: 2, everything: entries("head", "other")}
	f := newTestFollower(c)
	now := time.Now()
	f.take(context.Background(), full("x", 2, now))
	c.everything = entries("", "other")[1:]
	f.take(context.Background(), full("late", 2, now.Add(time.Second)))
	qt.Check(t, f.has(), qt.Equals, 1)
	c.everything = entries("head", "other")
	f.take(context.Background(), full("x", 2, now.Add(2*time.Second)))
	qt.Check(t, f.has(), qt.Equals, 2)
}

// another is a node with a copy of its own.
type another struct{ *mirror.Mirror }

func (a another) Pull(_ context.Context, _, _ string, since uint64, routing bool) (uint64, []infra.Object, error) {
	const bytes = 1 << 20
	page := a.Page
	if routing {
		page = a.RoutingPage
	}
	objects, reached := page(since, bytes)
	return reached, objects, nil
}

// put lists an object and says whether it is needed for routing.
func (a another) put(o infra.Object, routing bool) {
	a.Put(o)
	a.Mark(o, routing)
}

// Guards against a node that has become a relay not having endpoints that it was told, while it only routed, not to need: it
// took no replica group for whole then and refused its requests.
func TestNodeThatBecomesARelayHasAgainWhatItDidNotNeedForRouting(t *testing.T) {
	a := another{mirror.New()}
	member, head := ordered(object("member", 1)), ordered(object("head", 2))
	a.put(member, true) // it served alone, or so it was taken
	f := newTestFollower(a)
	f.KeepsAll = func() bool { return false }
	now := time.Now()
	f.take(context.Background(), full("x", a.Sequence(), now))
	qt.Check(t, f.has(), qt.Equals, 1)
	member.Version = 6
	a.put(member, false)
	a.put(head, true)
	f.take(context.Background(), full("x", a.Sequence(), now.Add(time.Second)))
	qt.Check(t, f.has(), qt.Equals, 1, qt.Commentf("the head is enough"))
	f.KeepsAll = func() bool { return true }
	f.take(context.Background(), full("x", a.Sequence(), now.Add(2*time.Second)))
	qt.Check(t, f.Full(), qt.IsTrue)
	qt.Check(t, f.has(), qt.Equals, 2)
}
