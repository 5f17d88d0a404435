package gossip

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// receive handles incoming beats until ctx ends.
func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(HeartbeatInterval)
			}
			continue
		}
		var b gossippb.Beat
		if proto.Unmarshal(buffer[:size], &b) != nil || b.Vm == n.self.VM {
			continue
		}
		now := clock.Now()
		p := n.handleBeat(&b, now)
		n.reply(&b, now)
		if p != nil && n.OnBeat != nil {
			n.OnBeat(p)
		}
	}
}

// handleBeat updates this node's state from a beat and returns the sender. It returns nil if the sender's address is
// invalid, or if the beat is stale or its age is unknown.
func (n *Node) handleBeat(b *gossippb.Beat, now time.Time) *Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.add(b.GossipAddress, now)
	if c == nil {
		return nil
	}
	for _, k := range b.Known {
		if mentioned := n.add(k.GossipAddress, now); mentioned != nil {
			mentioned.mentionedAt = now
		}
	}
	sameProcess := c.peer != nil && c.peer.Incarnation == b.Incarnation
	if sameProcess && b.Tick <= c.lastTick {
		return nil
	}
	c.echo = b.Tick
	asOf, ok := c.clock.AsOf(b.Echo)
	if !ok {
		return nil
	}
	if c.peer != nil && !sameProcess && asOf.Before(c.peer.Heard) {
		return nil // a late beat of an earlier incarnation
	}
	newlyHeld := n.mergeQuarantine(c, b, sameProcess, asOf, now)
	appeared := !c.alive(now)
	urgentChange := !appeared && (hasUrgentChange(c, b) || n.changesRateLimits(b, now))
	n.ownRosterStale = n.ownRosterStale || urgentChange && c.reports
	n.liveListStale = n.liveListStale || !slices.Equal(c.usedRosters, b.Rosters)
	c.applyFlags(b)
	c.peer = fromWire(b, asOf)
	c.peer.Upstream = !n.relaying && len(n.subscribedRelays) > 0 && n.subscribedRelays[0] == b.GossipAddress
	if b.WholeFleet {
		n.reportedFleetSize, n.fleetSizeReportedAt = int(b.Nodes), now
	}
	for _, w := range b.NewRosters {
		r := rosterFromWire(w, asOf)
		n.rosters[w.Digest] = r
		n.view.stale = n.view.stale || n.relaying && slices.ContainsFunc(r.members, n.view.isOutdatedBy)
	}
	n.view.stale = n.view.stale || urgentChange && n.relaying && n.view.isOutdatedBy(c.peer)
	n.liveListStale = n.liveListStale || appeared || urgentChange || len(b.NewRosters) > 0
	if (urgentChange || newlyHeld) && n.relaying {
		n.Kick()
	}
	return c.peer
}

// hasUrgentChange reports whether a beat changes a live node's status in a way that a relay passes on at once. New rosters
// wait for the next regular round, because all of them change while a fleet starts.
func hasUrgentChange(c *contact, b *gossippb.Beat) bool {
	s := &c.peer.Status
	return s.Leaving != b.Leaving || s.Serving != b.Serving || s.Isolated != b.Isolated || s.LeaderEpoch != b.LeaderEpoch || namesNewUnusableGroup(s, b)
}

// changesRateLimits reports whether a beat carries a rate limit that differs from the one known for the endpoint from all
// other nodes.
func (n *Node) changesRateLimits(b *gossippb.Beat, now time.Time) bool {
	if len(b.RateLimits) == 0 {
		return false
	}
	known := n.othersNow(now).Limits
	return slices.ContainsFunc(b.RateLimits, func(l *gossippb.RateLimit) bool {
		k := known[EndpointKey(l.Endpoint)]
		return k.Named != l.Named || k.PerSecond != l.PerSecond
	})
}

// namesNewUnusableGroup reports whether a beat names a replica group that must not get any more requests and that the
// sender's previous beat did not name. This is urgent: a node that is notified a tenth of a second later that a group
// has lost a member sends a few more requests to it.
func namesNewUnusableGroup(s *Status, b *gossippb.Beat) bool {
	isNew := func(group string) bool { return !slices.Contains(s.Lost, group) && !slices.Contains(s.Retiring, group) }
	return slices.ContainsFunc(b.Lost, isNew) || slices.ContainsFunc(b.Retiring, isNew) ||
		slices.ContainsFunc(b.Suspects, func(w *gossippb.Suspect) bool { return s.Suspects[w.Group].IsZero() })
}
