package follow

import (
	"math"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// queryDelay returns how long this node waits before it queries an unavailable store again, for a random number from 0 to 1.
// The leader and a node that hears no other do not wait. Other nodes wait even if they have had no copy yet: a node that is
// answered passes the copy on, and the store could not answer all nodes of a starting fleet at once.
func (f *Follower) queryDelay(jitter float64) time.Duration {
	if f.leads() {
		return 0
	}
	now := clock.Now()
	others := f.Others(now)
	if f.Relaying() {
		others = f.otherRelays(now)
	}
	return time.Duration(2 * jitter * float64(others) * float64(fleetQueryInterval))
}

// takesTurns reports whether this node leaves it to others that it hears to query an unavailable store often.
func (f *Follower) takesTurns() bool {
	return len(f.live(clock.Now())) > 0 && f.queryDelay(1) > maxQueryInterval
}

// mustProbe reports whether this node has to detect whether the store answers it, even while other nodes keep its copy
// current: a relay may become the next leader. If all 986 nodes of a fleet did so, each recovery of the store would cost some
// 9,000 calls.
func (f *Follower) mustProbe() bool { return f.leads() || f.Relaying() }

// shouldWatch reports whether this node should watch the store itself now; watching is set if it already does. A watching
// node continues until another node watches. A node that has left it to another resumes only when its proof is too old: each
// start takes a list of everything, and a watcher's proof is now and then a little older than this node accepts.
func (f *Follower) shouldWatch(watching bool) bool {
	if f.leads() {
		return true
	}
	now := clock.Now()
	at, _ := f.proof.currentAll()
	switch {
	case at.IsZero():
		return now.Sub(f.started) > f.StartDelay() && !f.watchedElsewhere(now, maxPullLag+f.firstCopyDelay(now))
	case watching:
		return !f.watchedElsewhere(now, maxPullLag)
	case now.Sub(at) <= relayMaxProofAge: // checked first: it is nearly always true and does not need the live nodes
		return false
	case !f.Relaying():
		return now.Sub(at) > reporterMaxProofAge+f.reporterDelay(now)
	}
	return now.Sub(at) > relayMaxProofAge+f.rankDelay(now, maxPullLag) && !f.watchedElsewhere(now, maxPullLag)
}

// firstCopyDelay returns how long a node without a copy waits for nodes whose changes it fails to pull before it watches the store
// itself, so that the nodes of a starting fleet do not list the store at once.
func (f *Follower) firstCopyDelay(now time.Time) time.Duration {
	if f.Relaying() {
		return f.rankDelay(now, math.MaxInt64)
	}
	return f.reporterDelay(now)
}

// reporterDelay returns how long this reporter waits for the other nodes to watch the store.
func (f *Follower) reporterDelay(now time.Time) time.Duration {
	return time.Duration(f.jitter * float64(f.Others(now)) * float64(fleetQueryInterval))
}

// watchedElsewhere reports whether another node watches the store for all. A heartbeat alone does not show that: a node does not count
// if this node has lacked what it announces for longer than maxLag.
//
// A node that is no relay is not sent which nodes watch, only that its relay is current while there is a leader, and the proof that it
// receives is about half a second older than the one that a relay receives. With the limit for relays, an idle node that had once begun
// to watch found the proof too old each time and went on watching forever, with 6.6 calls a second.
func (f *Follower) watchedElsewhere(now time.Time, maxLag time.Duration) bool {
	maxAge := relayMaxProofAge
	if !f.Relaying() {
		maxAge = reporterMaxProofAge
	}
	led, upstream := false, false
	for _, p := range f.live(now) {
		current := now.Sub(p.ProofAt) < maxAge && f.peerPulls.lag(p.Incarnation, now) <= maxLag
		if p.Watching && current && (p.LeaderEpoch > 0 || p.VM < f.self) {
			return true
		}
		led = led || p.LeaderEpoch > 0
		upstream = upstream || p.Upstream && current
	}
	return led && upstream
}

// rankDelay returns how long this relay waits for the relays that come before it to watch the store. It does not wait for those whose
// changes it has failed to pull for longer than maxLag: what they have does not reach it.
func (f *Follower) rankDelay(now time.Time, maxLag time.Duration) time.Duration {
	relays, relaysBefore := 1+f.otherRelays(now), 0
	for _, p := range f.live(now) {
		if p.Relay && p.VM < f.self && f.peerPulls.lag(p.Incarnation, now) <= maxLag {
			relaysBefore++
		}
	}
	return min(time.Duration(relaysBefore)*delayPerRank, maxRankDelay*time.Duration(relaysBefore)/time.Duration(relays))
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
