package gossip

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(Every)
			}
			continue
		}
		var b gossippb.Beat
		if proto.Unmarshal(buffer[:size], &b) != nil || b.Vm == n.self.VM {
			continue
		}
		now := clock.Now()
		p := n.take(&b, now)
		n.answer(&b, now)
		if p != nil && n.OnBeat != nil {
			n.OnBeat(p)
		}
	}
}

// take takes in a beat and returns the peer, unless the beat is old or its age is unknown.
func (n *Node) take(b *gossippb.Beat, now time.Time) *Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.add(b.GossipAddress, now)
	if c == nil {
		return nil
	}
	for _, k := range b.Known {
		if named := n.add(k.GossipAddress, now); named != nil {
			named.named = now
		}
	}
	same := c.peer != nil && c.peer.Incarnation == b.Incarnation
	if same && b.Tick <= c.tick {
		return nil
	}
	c.echo = b.Tick
	asOf, ok := c.clock.AsOf(b.Echo)
	if !ok {
		return nil
	}
	if c.peer != nil && !same && asOf.Before(c.peer.Heard) {
		return nil // a late beat of an earlier life
	}
	held := n.takeQuarantine(c, b, same, asOf, now)
	appeared := !c.fresh(now)
	news := !appeared && (isNews(c, b) || n.changesLimits(b, now))
	n.ownStale = n.ownStale || news && c.reports
	n.changed = n.changed || !slices.Equal(c.rosters, b.Rosters)
	c.takeFlags(b)
	c.peer = fromWire(b, asOf)
	c.peer.Upstream = !n.relaying && len(n.subscribed) > 0 && n.subscribed[0] == b.GossipAddress
	if b.WholeFleet {
		n.toldNodes, n.toldAt = int(b.Nodes), now
	}
	for _, w := range b.NewRosters {
		r := rosterFromWire(w, asOf)
		n.rosters[w.Digest] = r
		n.view.stale = n.view.stale || n.relaying && slices.ContainsFunc(r.members, n.view.outdates)
	}
	n.view.stale = n.view.stale || news && n.relaying && n.view.outdates(c.peer)
	n.changed = n.changed || appeared || news || len(b.NewRosters) > 0
	if (news || held) && n.relaying {
		n.Kick()
	}
	return c.peer
}

// isNews reports whether a beat tells something of a live node that a relay passes on at once. Other nodes' rosters are
// told in the next round: while a fleet starts all of them change.
func isNews(c *contact, b *gossippb.Beat) bool {
	s := &c.peer.Status
	return s.Leaving != b.Leaving || s.Serving != b.Serving || s.LeaderEpoch != b.LeaderEpoch || warns(s, b)
}

// changesLimits reports whether a beat tells another rate limit of an endpoint than what is known from all other nodes.
func (n *Node) changesLimits(b *gossippb.Beat, now time.Time) bool {
	if len(b.RateLimits) == 0 {
		return false
	}
	known := n.othersNow(now).Limits
	return slices.ContainsFunc(b.RateLimits, func(l *gossippb.RateLimit) bool {
		k := known[EndpointKey(l.Endpoint)]
		return k.Named != l.Named || k.PerSecond != l.PerSecond
	})
}

// warns reports whether a beat names a replica group that is to get no more requests and that the one before did not name.
// Each node that is told a tenth of a second later sends a few more requests to a group that has lost a member.
func warns(s *Status, b *gossippb.Beat) bool {
	isNew := func(group string) bool { return !slices.Contains(s.Lost, group) && !slices.Contains(s.Retiring, group) }
	return slices.ContainsFunc(b.Lost, isNew) || slices.ContainsFunc(b.Retiring, isNew) ||
		slices.ContainsFunc(b.Suspects, func(w *gossippb.Suspect) bool { return s.Suspects[w.Group].IsZero() })
}
