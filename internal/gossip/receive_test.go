package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// kicked reports whether an urgent round of beats was requested since the last call.
func (n *Node) kicked() bool {
	select {
	case <-n.kick:
		return true
	default:
		return false
	}
}

func TestRelayForwardsUrgentChangesAtOnceButNotNewNodes(t *testing.T) {
	// When 68 nodes start together, each of them is new to all others. Passing that on at once caused 440 MB of traffic.
	now := time.Now()
	n := NewNode(Identity{VM: "a", GossipAddress: "127.0.0.1:1"}, nil, nil)
	n.relaying = true
	c := n.add("127.0.0.1:2", now)
	beat := &gossippb.Beat{Vm: "b", Incarnation: "x", GossipAddress: "127.0.0.1:2", Serving: true}
	triggersSend := func() bool {
		beat.Tick++
		beat.Echo, _ = c.recordSend(now)
		qt.Assert(t, n.handleBeat(beat, now), qt.IsNotNil)
		return n.kicked()
	}
	qt.Check(t, triggersSend(), qt.IsFalse, qt.Commentf("the node has appeared"))
	qt.Check(t, triggersSend(), qt.IsFalse, qt.Commentf("nothing has changed"))
	beat.Leaving = true
	qt.Check(t, triggersSend(), qt.IsTrue)
	beat.Suspects = []*gossippb.Suspect{{Group: "g"}}
	qt.Check(t, triggersSend(), qt.IsTrue, qt.Commentf("a group has stalled"))
	qt.Check(t, triggersSend(), qt.IsFalse, qt.Commentf("the stalled group is already known"))
	beat.Lost = []string{"g"}
	qt.Check(t, triggersSend(), qt.IsTrue)
	beat.Suspects, beat.Lost = nil, nil
	qt.Check(t, triggersSend(), qt.IsFalse, qt.Commentf("the group's recovery is not urgent"))
}

// Guards against each request to a rate-limited endpoint making every node of a small fleet send an urgent beat to all
// others.
func TestRelayForwardsNewLimitsAtOnceButNotRequestCounts(t *testing.T) {
	now := time.Now()
	n := NewNode(Identity{VM: "a", GossipAddress: "127.0.0.1:1"}, nil, nil)
	n.relaying = true
	tick := uint64(0)
	triggersSendFrom := func(address string, limits ...*gossippb.RateLimit) bool {
		now = now.Add(HeartbeatInterval)
		c := n.add(address, now)
		tick++
		beat := &gossippb.Beat{Vm: address, Incarnation: "x", GossipAddress: address, Relay: true, Tick: tick, RateLimits: limits}
		beat.Echo, _ = c.recordSend(now)
		qt.Assert(t, n.handleBeat(beat, now), qt.IsNotNil)
		return n.kicked()
	}
	limit := func(perSecond float64, recent uint32) *gossippb.RateLimit {
		return &gossippb.RateLimit{Endpoint: 7, Named: true, PerSecond: perSecond, Recent: recent}
	}
	triggersSendFrom("127.0.0.1:2")
	triggersSendFrom("127.0.0.1:3")
	qt.Check(t, triggersSendFrom("127.0.0.1:2", limit(2, 1)), qt.IsTrue, qt.Commentf("a new limit"))
	qt.Check(t, triggersSendFrom("127.0.0.1:3", limit(2, 1)), qt.IsFalse, qt.Commentf("another node sends requests to the endpoint"))
	qt.Check(t, triggersSendFrom("127.0.0.1:2", limit(2, 3)), qt.IsFalse, qt.Commentf("more requests are sent to the endpoint"))
	qt.Check(t, triggersSendFrom("127.0.0.1:2", limit(1, 3)), qt.IsTrue, qt.Commentf("a changed limit"))
	qt.Check(t, triggersSendFrom("127.0.0.1:3"), qt.IsFalse, qt.Commentf("a node that no longer sends requests to the endpoint"))
}
