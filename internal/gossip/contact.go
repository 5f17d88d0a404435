package gossip

import (
	"net/netip"
	"time"

	"moorrun.dev/moorrun/internal/freshness"
	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// contact is the state kept for one gossip address that this node exchanges beats with.
type contact struct {
	address         netip.AddrPort
	clock           freshness.Clock
	echo            uint64 // the last tick received from this contact, echoed in the next beat to it
	peer            *Peer  // from its last beat; nil until one is received
	registered      *Peer  // from its registration; nil if it was not introduced by one
	lastSent        time.Time
	addedAt         time.Time
	mentionedAt     time.Time // when another node last listed it among the nodes that it knows
	idleRate        bool      // this node is idle and sends it beats at the longer idle interval
	lastTick        uint64    // the highest tick accepted from peer's incarnation
	unansweredSince time.Time // the first beat sent to it since it stopped answering; zero if it answers

	quarantine tableSync // how far the two nodes' tables of suspected requests are synchronized

	// From its last beat.
	subscribes   bool
	reports      bool
	wholeFleet   bool
	knownRosters map[uint64]bool // digests of the rosters that it has
	usedRosters  []uint64        // digests of the rosters that it uses
}

func (c *contact) alive(now time.Time) bool { return c.peer != nil && c.peer.Fresh(now, c.timeout()) }

// timeout returns how long the contact counts as live after it was last heard.
func (c *contact) timeout() time.Duration {
	if c.idleRate || c.peer.Idle && !c.peer.Relay {
		return idleLivenessTimeout
	}
	return LivenessTimeout
}

// isRelay reports whether the contact is a live relay.
func (c *contact) isRelay(now time.Time) bool { return c.alive(now) && c.peer.Relay }

// isReporter reports whether the contact is a live node whose status this node passes on to the rest of the fleet.
func (c *contact) isReporter(now time.Time) bool { return c.alive(now) && c.reports && !c.peer.Relay }

// isUnresponsive reports whether the contact has not answered for more than LivenessTimeout. After relayRetryDelay it is
// no longer reported as unresponsive, so that it is tried again.
func (c *contact) isUnresponsive(now time.Time) bool {
	return !c.alive(now) && !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) > LivenessTimeout && now.Sub(c.unansweredSince) < relayRetryDelay
}

// presumedPeer returns the registration of a node that has not been heard yet but may be running, else nil.
func (c *contact) presumedPeer(now time.Time) *Peer {
	if c.peer != nil || c.registered == nil || c.isUnresponsive(now) || now.Sub(c.addedAt) > contactExpiry {
		return nil
	}
	return c.registered
}

// isLikelyRelay reports whether the contact is probably a live relay: another node has listed it within
// unresponsiveInterval, or it was a relay when it was last heard.
func (c *contact) isLikelyRelay(now time.Time) bool {
	return now.Sub(c.mentionedAt) < unresponsiveInterval || c.peer != nil && c.peer.Relay
}

// lastActivity returns when the contact was last heard or added, whichever is later.
func (c *contact) lastActivity() time.Time {
	if c.peer != nil && c.peer.Heard.After(c.addedAt) {
		return c.peer.Heard
	}
	return c.addedAt
}

// recordSend records that a beat is sent to the contact and returns the beat's tick and the last tick received from there.
func (c *contact) recordSend(now time.Time) (tick, echo uint64) {
	if !c.alive(now) && (c.unansweredSince.IsZero() || now.Sub(c.unansweredSince) >= relayRetryDelay) {
		c.unansweredSince = now
	}
	c.lastSent = now
	return c.clock.Next(now), c.echo
}

// applyFlags stores the fields of a beat that are not part of the sender's Status.
func (c *contact) applyFlags(b *gossippb.Beat) {
	c.lastTick = b.Tick
	c.unansweredSince = time.Time{}
	c.subscribes, c.reports, c.wholeFleet = b.Subscribes, b.Reports, b.WholeFleet
	c.usedRosters = b.Rosters
	c.knownRosters = make(map[uint64]bool, len(b.Holds))
	for _, digest := range b.Holds {
		c.knownRosters[digest] = true
	}
}
