package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/formation"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/lease"
)

const (
	// servePart is the part of the credential proof's limit up to which a node takes new callers.
	servePart = 0.6
	probeWait = 600 * time.Millisecond
	// probeNodes is how many other nodes are asked at a time whether they hear an endpoint.
	probeNodes = 12
)

// status is what the other nodes are told.
func (n *Server) status(now time.Time) gossip.Status {
	s := n.ownStatus(now)
	s.Leaving = n.leaving.Load()
	s.Serving = n.serving(now)
	s.Eligible = !s.Leaving && n.follower.StoreAnswers() && n.gossip.Relaying()
	if s.Idle = n.traffic.idle(now); !s.Idle {
		s.Busy = 1
	}
	s.LeaderEpoch = n.controller.Leads(now)
	s.Uptime = n.election.uptime(now)
	s.ProofAt, s.Watching = n.follower.Whole() // before the sequences, which may then be later than what it is of
	s.Sequence, s.Routing, s.Full = n.follower.Mirror.Sequence(), n.follower.Mirror.RoutingSequence(), n.follower.Full()
	if s.LeaderEpoch > 0 {
		s.Retiring = n.controller.Retiring()
		s.Lost = n.controller.Lost()
		version, record := n.keeper.Latest()
		s.Lease = gossip.Lease{Version: version, Term: time.Duration(record.TTLMillis) * time.Millisecond}
	}
	return s
}

// ownStatus is this node's loads and doubts.
func (n *Server) ownStatus(now time.Time) gossip.Status {
	var s gossip.Status
	n.picker.Report(&s, now)
	return s
}

// serving reports whether requests can be answered here.
func (n *Server) serving(now time.Time) bool {
	if n.table.Load() == nil {
		return false
	}
	if !n.settings.CredentialProofRequired {
		return true
	}
	age := now.Sub(n.follower.Current(keys.Accepted))
	return float64(age) < servePart*float64(n.settings.CredentialProof())
}

// ready reports whether this node takes new callers.
func (n *Server) ready() bool { return !n.leaving.Load() && n.serving(clock.Now()) }

// wantsLead reports whether this node should hold the leader's lease. While somebody else holds it there is nothing to ask the
// store for, though the holder is not heard yet.
func (n *Server) wantsLead() bool {
	now := clock.Now()
	leads := n.controller.Leads(now) > 0
	able := !n.leaving.Load() && n.table.Load() != nil && (n.follower.StoreAnswers() || leads && n.listedLately(now))
	wants := n.election.wants(now, able, n.gossip.Relaying() && !n.smaller(), leads, n.gossip.Live(now))
	return wants && (leads || !n.keeper.HeldElsewhere(now))
}

// listedLately reports whether a leader still knows enough to decide, though the store has not answered its last call. The store
// may cut watches that wait, and connections break; giving the lease up for that cost two seconds without orders, and forty
// calls of all the nodes that could lead. If the store answers nothing, the lease runs out by itself.
func (n *Server) listedLately(now time.Time) bool {
	return now.Sub(n.listedAsOf()) <= formation.FreshEnough
}

// heard takes in another node's beat.
func (n *Server) heard(p *gossip.Peer) {
	n.follower.Heard(p)
	switch {
	case p.LeaderEpoch == 0:
		n.keeper.GivenUp(p.VM)
	case p.Lease.Version > 0:
		n.keeper.Told(p.Lease.Version, lease.Record{Holder: p.VM, Epoch: p.LeaderEpoch, TTLMillis: p.Lease.Term.Milliseconds()})
	}
	n.picker.Review()
}

// retiring returns the groups that the leader is about to end.
func (n *Server) retiring(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, name := range n.controller.Retiring() {
		out[name] = true
	}
	for _, name := range n.gossip.Others(now).Retiring {
		out[name] = true
	}
	return out
}

// lost reports whether the leader has found a group to have lost a member.
func (n *Server) lost(group string, now time.Time) bool {
	return slices.Contains(n.controller.Lost(), group) || slices.Contains(n.gossip.Others(now).Lost, group)
}

// askFor asks an endpoint on behalf of another node.
func (n *Server) askFor(ctx context.Context, id, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return n.platform.Engine.Ask(ctx, &endpoint.Endpoint{ID: id, Address: address}).Heard()
}

// heardElsewhere asks other nodes, in a large fleet some by chance, whether an endpoint answers them. One in a data centre
// of which no node is heard any more counts as heard: packets may pass one way only, and then it serves on while it seems
// silent to everybody else. Its group's members must not join others meanwhile.
func (n *Server) heardElsewhere(ctx context.Context, e *endpoint.Endpoint) bool {
	if n.gossip.OutOfSight(e.Zone, clock.Now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	var g errgroup.Group
	asked := slices.Clone(n.gossip.Live(clock.Now()))
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(len(asked), probeNodes)]
	answers := make(chan bool, len(asked))
	for _, p := range asked {
		g.Go(func() error {
			answered, err := n.caller.Probe(ctx, p.PeerAddress, e.ID, e.Address)
			select {
			case answers <- answered && err == nil:
			default:
			}
			return nil
		})
	}
	_ = g.Wait()
	close(answers)
	for answered := range answers {
		if answered {
			return true
		}
	}
	return false
}
