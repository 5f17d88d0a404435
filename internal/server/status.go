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
	"moorrun.dev/moorrun/internal/lease"
)

const (
	// serveFraction is the fraction of the maximum age of the credential proof up to which a node accepts new callers.
	serveFraction = 0.6
	probeTimeout  = 600 * time.Millisecond
	// maxProbeNodes is how many other nodes are asked at once whether an endpoint answers them.
	maxProbeNodes = 12
)

// status returns the status that this node sends to the others.
func (n *Server) status(now time.Time) gossip.Status {
	s := n.ownStatus(now)
	s.Leaving = n.leaving()
	s.Serving = n.serving(now)
	s.Isolated = n.reach.Isolated()
	s.Eligible = !s.Leaving && !s.Isolated && n.follower.StoreAnswers() && n.gossip.Relaying()
	if s.Idle = n.traffic.idle(now); !s.Idle {
		s.Busy = 1
	}
	s.LeaderEpoch = n.controller.Leads(now)
	s.Uptime = n.election.uptime(now)
	s.ProofAt, s.Watching = n.follower.CurrentAll() // read before the sequences, which then cover at least the state that it proves
	s.Sequence, s.Routing, s.Full = n.follower.Mirror.Sequence(), n.follower.Mirror.RoutingSequence(), n.follower.Full()
	if s.LeaderEpoch > 0 {
		s.Retiring = n.controller.Retiring()
		s.Lost = n.controller.Lost()
		version, record := n.leaseClient.Latest()
		s.Lease = gossip.Lease{Version: version, Term: time.Duration(record.TTLMillis) * time.Millisecond}
	}
	return s
}

// ownStatus returns the part of the status that the picker reports: this node's loads and the groups that it suspects.
func (n *Server) ownStatus(now time.Time) gossip.Status {
	var s gossip.Status
	n.picker.Report(&s, now)
	if n.reach.Isolated() {
		clear(s.Suspects) // what stands still here may go on at every other node
	}
	return s
}

// serving reports whether this node can answer requests.
func (n *Server) serving(now time.Time) bool {
	t, provedAt := n.configuration()
	if t == nil {
		return false
	}
	if !n.settings.CredentialProofRequired {
		return true
	}
	age := now.Sub(provedAt)
	return float64(age) < serveFraction*float64(n.settings.ProofLimit())
}

// ready reports whether this node accepts new callers.
func (n *Server) ready() bool { return !n.leaving() && n.serving(clock.Now()) }

// shouldLead reports whether this node should hold the leader's lease. While another node holds it, this one does not query
// the store for it, even if it has not heard from the holder yet.
func (n *Server) shouldLead() bool {
	now := clock.Now()
	leads := n.controller.Leads(now) > 0
	able := !n.leaving() && n.table.Load() != nil && (n.follower.StoreAnswers() || leads && n.listedRecently(now))
	shouldHold := n.election.shouldHoldLease(now, able, n.gossip.Relaying() && !n.isSmallerAtStart(), leads, n.gossip.Live(now))
	return shouldHold && (leads || !n.leaseClient.HeldElsewhere(now))
}

// listedRecently reports whether the leader's list of endpoints is recent enough to decide on, although the store has not
// answered its last call. The store may cut waiting watches, and connections break; giving up the lease for that cost two
// seconds without orders and forty calls by all the nodes that could lead. If the store answers nothing, the lease expires by
// itself.
func (n *Server) listedRecently(now time.Time) bool {
	return now.Sub(n.endpointsListedAt()) <= formation.MaxListAge
}

// handleBeat processes another node's heartbeat.
func (n *Server) handleBeat(p *gossip.Peer) {
	n.follower.EnqueueBeat(p)
	switch {
	case p.LeaderEpoch == 0:
		n.leaseClient.Disclaimed(p.VM)
	case p.Lease.Version > 0:
		n.leaseClient.Reported(p.Lease.Version, lease.Record{Holder: p.VM, Epoch: p.LeaderEpoch, TTLMillis: p.Lease.Term.Milliseconds()})
	}
	n.picker.GrantWaiting()
}

// retiring returns the names of the groups that the leader is about to end.
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

// lost reports whether the leader has found that a group has lost a member.
func (n *Server) lost(group string, now time.Time) bool {
	return slices.Contains(n.controller.Lost(), group) || slices.Contains(n.gossip.Others(now).Lost, group)
}

// probeForPeer asks an endpoint on behalf of another node whether it is alive. It does not use the paths of other nodes.
func (n *Server) probeForPeer(ctx context.Context, id, address string) gossip.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := n.reach.Dial(ctx, address)
	if err != nil {
		return gossip.ProbeResult{Isolated: !n.reach.ReachesOthers(ctx, address)}
	}
	_ = c.Close()
	answer, _ := n.platform.Engine.Probe(ctx, &endpoint.Endpoint{ID: id, Address: address})
	return gossip.ProbeResult{Answered: answer.Heard()}
}

// askPeers asks up to maxProbeNodes other nodes, chosen at random, whether an endpoint answers them. An endpoint in a data centre
// of which no node is heard any more counts as reachable: with packets passing in one direction only, it goes on serving while it
// seems silent to all other data centres, and the members of its group must not join other groups meanwhile.
func (n *Server) askPeers(ctx context.Context, e *endpoint.Endpoint) formation.PeerEvidence {
	if n.gossip.LostContact(e.DataCentre, clock.Now()) {
		return formation.Reachable
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := slices.Clone(n.gossip.Live(clock.Now()))
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(len(asked), maxProbeNodes)]
	answers := make(chan gossip.ProbeResult, len(asked))
	var g errgroup.Group
	for _, p := range asked {
		g.Go(func() error {
			if found, err := n.peerCaller.Probe(ctx, p.PeerAddress, e.ID, e.Address); err == nil {
				answers <- found
			}
			return nil
		})
	}
	_ = g.Wait()
	close(answers)
	return n.weigh(ctx, e, answers)
}

// weigh returns what the answers of other nodes tell about an endpoint. Without any answer this node's own failure to reach the
// endpoint counts, if it reaches others.
func (n *Server) weigh(ctx context.Context, e *endpoint.Endpoint, answers <-chan gossip.ProbeResult) formation.PeerEvidence {
	evidence, answered := formation.NoEvidence, false
	for found := range answers {
		answered = true
		switch {
		case found.Answered:
			return formation.Reachable
		case !found.Isolated:
			evidence = formation.Unreachable
		}
	}
	if !answered && n.reach.ReachesOthers(ctx, e.Address) {
		return formation.Unreachable
	}
	return evidence
}
