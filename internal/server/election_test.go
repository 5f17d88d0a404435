package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/gossip"
)

var origin = time.Unix(1000, 0)

// defaultCapacity is the capacity of the nodes in these tests unless stated otherwise, in thousandths of a core.
const defaultCapacity = 400

// peerFromBeat returns a peer that started at the given time, as known from a heartbeat of the given age.
func peerFromBeat(started, now time.Time, age time.Duration) *gossip.Peer {
	return &gossip.Peer{Identity: gossip.Identity{Capacity: defaultCapacity}, Status: gossip.Status{Eligible: true, Uptime: now.Add(-age).Sub(started)}, Heard: now.Add(-age)}
}

func TestSomeoneAlwaysWantsToLead(t *testing.T) {
	// Guards against a fleet in which no node tries to lead, as happened for twenty seconds while nodes were restarted one
	// after the other, two seconds apart: each knew of another that it preferred.
	rapid.Check(t, func(t *rapid.T) {
		now := origin.Add(time.Minute)
		n := rapid.IntRange(1, 9).Draw(t, "nodes")
		starts, sizes := make([]time.Time, n), make([]uint32, n)
		for i := range starts {
			sizes[i] = rapid.SampledFrom([]uint32{200, 800}).Draw(t, "capacity")
			starts[i] = now.Add(-time.Duration(rapid.IntRange(600, 20000).Draw(t, "uptime")) * time.Millisecond)
		}
		candidates := 0
		for i := range starts {
			e := newElection(starts[i], sizes[i])
			e.leaderHeardAt = now
			var live []*gossip.Peer
			for j := range starts {
				if j != i {
					beat := peerFromBeat(starts[j], now, time.Duration(rapid.IntRange(0, 150).Draw(t, "age"))*time.Millisecond)
					beat.Capacity = sizes[j]
					live = append(live, beat)
				}
			}
			if e.shouldHoldLease(now, true, true, false, live) {
				candidates++
			}
		}
		if candidates == 0 {
			t.Fatalf("no node tries to lead; start times %v", starts)
		}
	})
}

func TestOnlyTheOldestWantsToLead(t *testing.T) {
	now := origin.Add(time.Minute)
	old, young := origin, origin.Add(30*time.Second)
	qt.Check(t, newElection(old, defaultCapacity).shouldHoldLease(now, true, true, false, []*gossip.Peer{peerFromBeat(young, now, 0)}), qt.IsTrue)
	e := newElection(young, defaultCapacity)
	e.leaderHeardAt = now
	qt.Check(t, e.shouldHoldLease(now, true, true, false, []*gossip.Peer{peerFromBeat(old, now, 0)}), qt.IsFalse)
}

func TestALargerNodeLeadsThoughItIsYounger(t *testing.T) {
	now := origin.Add(time.Minute)
	old, young := origin, origin.Add(30*time.Second)
	qt.Check(t, newElection(young, 2*defaultCapacity).shouldHoldLease(now, true, true, false, []*gossip.Peer{peerFromBeat(old, now, 0)}), qt.IsTrue)
	larger := peerFromBeat(young, now, 0)
	larger.Capacity = 2 * defaultCapacity
	e := newElection(old, defaultCapacity)
	e.leaderHeardAt = now
	qt.Check(t, e.shouldHoldLease(now, true, true, false, []*gossip.Peer{larger}), qt.IsFalse)
}

func TestEveryRelayWantsToLeadAfterTheLeaderlessTimeout(t *testing.T) {
	now := origin.Add(time.Minute)
	e := newElection(origin.Add(30*time.Second), defaultCapacity)
	e.leaderHeardAt = now
	older := []*gossip.Peer{peerFromBeat(origin, now, 0)}
	qt.Check(t, e.shouldHoldLease(now.Add(leaderlessTimeout), true, true, false, older), qt.IsFalse)
	qt.Check(t, e.shouldHoldLease(now.Add(leaderlessTimeout+time.Millisecond), true, true, false, older), qt.IsTrue)
}

func TestRelaysLeadBeforeOtherNodes(t *testing.T) {
	now := origin.Add(time.Minute)
	e := newElection(origin, defaultCapacity)
	e.leaderHeardAt = now
	qt.Check(t, e.shouldHoldLease(now.Add(2*leaderlessTimeout), true, false, false, nil), qt.IsFalse)
	qt.Check(t, e.shouldHoldLease(now.Add(2*leaderlessTimeout+time.Millisecond), true, false, false, nil), qt.IsTrue, qt.Commentf("no relay has been able to lead"))
}

func TestNoNodeWantsToLeadWhileALeaderIsLive(t *testing.T) {
	now := origin.Add(time.Minute)
	leader := peerFromBeat(origin.Add(time.Second), now, 0)
	leader.LeaderEpoch = 7
	qt.Check(t, newElection(origin, defaultCapacity).shouldHoldLease(now, true, true, false, []*gossip.Peer{leader}), qt.IsFalse)
}

func TestNodesThatCannotLeadAreNotPreferred(t *testing.T) {
	now := origin.Add(time.Minute)
	qt.Check(t, newElection(origin, defaultCapacity).shouldHoldLease(now, false, true, true, nil), qt.IsFalse)
	leaving := peerFromBeat(origin, now, 0)
	leaving.Leaving = true
	qt.Check(t, newElection(origin.Add(time.Second), defaultCapacity).shouldHoldLease(now, true, true, false, []*gossip.Peer{leaving}), qt.IsTrue)
}
