package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/gossip"
)

var origin = time.Unix(1000, 0)

// cores is the capacity of the nodes of these tests that is not said otherwise.
const cores = 400

// beatOf is what a node that started at that time told in a beat some time ago.
func beatOf(started, now time.Time, age time.Duration) *gossip.Peer {
	return &gossip.Peer{Identity: gossip.Identity{Capacity: cores}, Status: gossip.Status{Eligible: true, Uptime: now.Add(-age).Sub(started)}, Heard: now.Add(-age)}
}

func TestSomeoneAlwaysWantsToLead(t *testing.T) {
	// Nodes that are restarted one after the other, two seconds apart, once left nobody who wanted to lead for
	// twenty seconds: each saw another that went first.
	rapid.Check(t, func(t *rapid.T) {
		now := origin.Add(time.Minute)
		n := rapid.IntRange(1, 9).Draw(t, "nodes")
		starts, sizes := make([]time.Time, n), make([]uint32, n)
		for i := range starts {
			sizes[i] = rapid.SampledFrom([]uint32{200, 800}).Draw(t, "capacity")
			starts[i] = now.Add(-time.Duration(rapid.IntRange(600, 20000).Draw(t, "uptime")) * time.Millisecond)
		}
		wanting := 0
		for i := range starts {
			e := newElection(starts[i], sizes[i])
			e.led = now
			var live []*gossip.Peer
			for j := range starts {
				if j != i {
					beat := beatOf(starts[j], now, time.Duration(rapid.IntRange(0, 150).Draw(t, "age"))*time.Millisecond)
					beat.Capacity = sizes[j]
					live = append(live, beat)
				}
			}
			if e.wants(now, true, true, false, live) {
				wanting++
			}
		}
		if wanting == 0 {
			t.Fatalf("nobody wants to lead; starts %v", starts)
		}
	})
}

func TestOnlyTheOldestWantsToLead(t *testing.T) {
	now := origin.Add(time.Minute)
	old, young := origin, origin.Add(30*time.Second)
	qt.Check(t, newElection(old, cores).wants(now, true, true, false, []*gossip.Peer{beatOf(young, now, 0)}), qt.IsTrue)
	e := newElection(young, cores)
	e.led = now
	qt.Check(t, e.wants(now, true, true, false, []*gossip.Peer{beatOf(old, now, 0)}), qt.IsFalse)
}

func TestALargerNodeLeadsThoughItIsYounger(t *testing.T) {
	now := origin.Add(time.Minute)
	old, young := origin, origin.Add(30*time.Second)
	qt.Check(t, newElection(young, 2*cores).wants(now, true, true, false, []*gossip.Peer{beatOf(old, now, 0)}), qt.IsTrue)
	larger := beatOf(young, now, 0)
	larger.Capacity = 2 * cores
	e := newElection(old, cores)
	e.led = now
	qt.Check(t, e.wants(now, true, true, false, []*gossip.Peer{larger}), qt.IsFalse)
}

func TestEveryoneWantsToLeadAfterAWhileWithoutALeader(t *testing.T) {
	now := origin.Add(time.Minute)
	e := newElection(origin.Add(30*time.Second), cores)
	e.led = now
	older := []*gossip.Peer{beatOf(origin, now, 0)}
	qt.Check(t, e.wants(now.Add(leaderlessFor), true, true, false, older), qt.IsFalse)
	qt.Check(t, e.wants(now.Add(leaderlessFor+time.Millisecond), true, true, false, older), qt.IsTrue)
}

func TestRelaysLeadBeforeOtherNodes(t *testing.T) {
	now := origin.Add(time.Minute)
	e := newElection(origin, cores)
	e.led = now
	qt.Check(t, e.wants(now.Add(2*leaderlessFor), true, false, false, nil), qt.IsFalse)
	qt.Check(t, e.wants(now.Add(2*leaderlessFor+time.Millisecond), true, false, false, nil), qt.IsTrue, qt.Commentf("no relay could"))
}

func TestNobodyWantsToLeadBesideALeader(t *testing.T) {
	now := origin.Add(time.Minute)
	leader := beatOf(origin.Add(time.Second), now, 0)
	leader.LeaderEpoch = 7
	qt.Check(t, newElection(origin, cores).wants(now, true, true, false, []*gossip.Peer{leader}), qt.IsFalse)
}

func TestNodesThatCannotLeadStandBack(t *testing.T) {
	now := origin.Add(time.Minute)
	qt.Check(t, newElection(origin, cores).wants(now, false, true, true, nil), qt.IsFalse)
	leaving := beatOf(origin, now, 0)
	leaving.Leaving = true
	qt.Check(t, newElection(origin.Add(time.Second), cores).wants(now, true, true, false, []*gossip.Peer{leaving}), qt.IsTrue)
}
