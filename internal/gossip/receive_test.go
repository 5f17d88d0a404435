package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// kicked reports whether the node is about to send out of turn.
func (n *Node) kicked() bool {
	select {
	case <-n.kick:
		return true
	default:
		return false
	}
}

func TestRelayPassesOnAtOnceWhatANodeSaysButNotThatItHasAppeared(t *testing.T) {
	// Each of 68 nodes that start together appears to every other; passed on at once that was 440 MB.
	now := time.Now()
	n := NewNode(Identity{VM: "a", GossipAddress: "127.0.0.1:1"}, nil, nil)
	n.relaying = true
	c := n.add("127.0.0.1:2", now)
	beat := &gossippb.Beat{Vm: "b", Incarnation: "x", GossipAddress: "127.0.0.1:2", Serving: true}
	heard := func() bool {
		beat.Tick++
		beat.Echo, _ = c.sending(now)
		qt.Assert(t, n.take(beat, now), qt.IsNotNil)
		return n.kicked()
	}
	qt.Check(t, heard(), qt.IsFalse, qt.Commentf("it has appeared"))
	qt.Check(t, heard(), qt.IsFalse, qt.Commentf("nothing is new"))
	beat.Leaving = true
	qt.Check(t, heard(), qt.IsTrue)
	beat.Suspects = []*gossippb.Suspect{{Group: "g"}}
	qt.Check(t, heard(), qt.IsTrue, qt.Commentf("a group stands still"))
	qt.Check(t, heard(), qt.IsFalse, qt.Commentf("that is known by now"))
	beat.Lost = []string{"g"}
	qt.Check(t, heard(), qt.IsTrue)
	beat.Suspects, beat.Lost = nil, nil
	qt.Check(t, heard(), qt.IsFalse, qt.Commentf("that it serves again can wait"))
}

// Guards against each request to a limited endpoint making every node of a small fleet send to all others out of turn.
func TestRelayPassesOnAtOnceALimitThatIsNewButNotWhoSendsToTheEndpoint(t *testing.T) {
	now := time.Now()
	n := NewNode(Identity{VM: "a", GossipAddress: "127.0.0.1:1"}, nil, nil)
	n.relaying = true
	tick := uint64(0)
	heard := func(address string, limits ...*gossippb.RateLimit) bool {
		now = now.Add(Every)
		c := n.add(address, now)
		tick++
		beat := &gossippb.Beat{Vm: address, Incarnation: "x", GossipAddress: address, Relay: true, Tick: tick, RateLimits: limits}
		beat.Echo, _ = c.sending(now)
		qt.Assert(t, n.take(beat, now), qt.IsNotNil)
		return n.kicked()
	}
	limit := func(perSecond float64, recent uint32) *gossippb.RateLimit {
		return &gossippb.RateLimit{Endpoint: 7, Named: true, PerSecond: perSecond, Recent: recent}
	}
	heard("127.0.0.1:2")
	heard("127.0.0.1:3")
	qt.Check(t, heard("127.0.0.1:2", limit(2, 1)), qt.IsTrue, qt.Commentf("a new limit"))
	qt.Check(t, heard("127.0.0.1:3", limit(2, 1)), qt.IsFalse, qt.Commentf("another node sends there"))
	qt.Check(t, heard("127.0.0.1:2", limit(2, 3)), qt.IsFalse, qt.Commentf("more is sent there"))
	qt.Check(t, heard("127.0.0.1:2", limit(1, 3)), qt.IsTrue, qt.Commentf("another limit"))
	qt.Check(t, heard("127.0.0.1:3"), qt.IsFalse, qt.Commentf("one that sends nothing there any more"))
}
