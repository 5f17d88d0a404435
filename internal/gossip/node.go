// Package gossip implements discovery and status exchange among the nodes of a fleet. Several times a second each node
// sends a beat, a heartbeat datagram with its loads, the replica groups that it suspects of having failed, and how
// current its copy of the platform's store is.
//
// In a small fleet each node sends beats to every other node. In a larger one some nodes are relays. Every other node
// reports its status to one relay, which replies with the totals of the whole fleet, and subscribes to the replies of a
// second one. Relays send each other the totals of themselves and of the nodes that report to them. So the traffic of a
// node grows with the square root of the fleet's size.
//
// A node is heard when a beat from it arrives; a node that was heard within the liveness timeout is live. A roster lists
// a relay and the nodes that report to it, or a selection of the fleet's nodes. Relays distribute rosters, identified by
// their digests, so that nodes also know others from which they receive no beats.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/quarantine"
)

const (
	// HeartbeatInterval is the interval between two beats to a live node.
	HeartbeatInterval = 100 * time.Millisecond
	// LivenessTimeout is how long a node counts as live after it was last heard.
	LivenessTimeout = 800 * time.Millisecond
	// idleInterval and idleStandbyInterval are the intervals at which a node without requests sends beats to its first and
	// second relay. Such a node needs only the fleet's members and the age of its configuration, which may both be that
	// old, and its traffic falls to a fifth.
	idleInterval        = 500 * time.Millisecond
	idleStandbyInterval = time.Second
	// idleLivenessTimeout is how long an idle node and its relays count as live to each other after they were last heard.
	idleLivenessTimeout = 2 * time.Second
	// unresponsiveInterval is the interval between two beats to a node that does not answer.
	unresponsiveInterval = 700 * time.Millisecond
	// standbyInterval is the interval between two beats to the second relay.
	standbyInterval = 300 * time.Millisecond
	// relayRetryDelay is how long after its first unanswered beat an unresponsive relay is tried again.
	relayRetryDelay = 4 * time.Second
	// contactExpiry is how long the state of a node that does not answer is kept.
	contactExpiry = 40 * time.Second
	// rosterExpiry is how long a roster is kept after the last live node stopped using it.
	rosterExpiry = 2 * time.Second
	// derivedStateTTL is the maximum age of the cached list of live nodes and of the cached totals.
	derivedStateTTL = 20 * time.Millisecond
	// minUrgentInterval is the minimum time between two urgent rounds of beats. While a fleet starts, every beat brings
	// changes: with 10 ms, 68 nodes sent each other 440 MB in their first six seconds.
	minUrgentInterval = 50 * time.Millisecond
	// rosterInterval is how often a relay of a large fleet rebuilds its roster; an urgent change of a reporting node, such
	// as its leaving, causes a rebuild at once. While a fleet starts the roster changes constantly, and each version is
	// sent to every node.
	rosterInterval = time.Second
	// maxStraysPerRound is how many nodes a node sends beats to in one round, besides its relays.
	maxStraysPerRound = 6
	// maxDatagram is the size in bytes of the largest beat that is accepted.
	maxDatagram = 60 << 10
	// maxKnownPerBeat is how many other nodes a beat lists: the first relay, another one and one random node, ten times a second.
	// The nodes of a starting fleet then agree on its members within about three seconds.
	maxKnownPerBeat = 3
)

// Conn sends and receives datagrams. *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	SetReadDeadline(t time.Time) error
}

// Node exchanges beats with the other nodes on behalf of this process.
type Node struct {
	self   Identity
	conn   Conn
	status func(now time.Time) Status
	// OnBeat is called with the sender of each accepted beat; it must not block.
	OnBeat func(p *Peer)
	// Quarantine is the table of requests suspected of ending the endpoints that run them. The nodes synchronize it; nil
	// disables this.
	Quarantine *quarantine.Table
	// CapacityPerRequest is the capacity that one running request needs of the nodes that serve callers, in thousandths of a
	// core.
	CapacityPerRequest float64
	// FleetSize returns the number of nodes in the fleet, also of those that are not heard at present; 0 or nil: unknown. It must
	// not call the Node.
	FleetSize func(now time.Time) int
	// OnSent is called with the kind and the size in bytes of each beat sent; it must not block.
	OnSent func(kind BeatKind, size int)

	mu                  sync.Mutex
	contacts            map[string]*contact // by gossip address
	rosters             map[uint64]*roster  // by digest
	relays              []*Peer             // the other nodes that should be relays
	ownRoster           *roster             // while this node is a relay
	ownRosterAt         time.Time
	ownRosterStale      bool        // a reporting node has sent an urgent change
	view                partialView // while this node is a relay
	reportedFleetSize   int         // number of nodes in the fleet, from the last beat for the whole fleet
	fleetSizeReportedAt time.Time
	lastSeen            map[string]time.Time // when the node was last live, by VM
	dataCentreLastSeen  map[string]time.Time // when a node of the data centre was last live
	relaying            bool
	subscribedRelays    []string // addresses of the relays that this node reports and subscribes to
	lastStatus          Status   // this node's status as of its last round of beats

	liveAt        time.Time
	liveList      []*Peer
	liveListStale bool // a beat since liveList was made may change it
	others        *Totals
	othersAt      time.Time
	kick          chan struct{} // requests an urgent round of beats
}

// NewNode returns a Node that sends and receives on conn; status returns the status to send.
func NewNode(self Identity, conn Conn, status func(now time.Time) Status) *Node {
	return &Node{
		self: self, conn: conn, status: status, contacts: make(map[string]*contact), rosters: make(map[uint64]*roster),
		lastSeen: make(map[string]time.Time), dataCentreLastSeen: make(map[string]time.Time), kick: make(chan struct{}, 1),
	}
}

// Self returns this process's identity.
func (n *Node) Self() Identity { return n.self }

// Add registers gossip addresses of other nodes as contacts.
func (n *Node) Add(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.add(a, clock.Now())
	}
}

// Introduce adds a node that has registered in the store. Until it is heard it is considered only when relays are
// selected, so that the nodes of a starting fleet agree on the relays before they have all heard each other.
func (n *Node) Introduce(id Identity) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.add(id.GossipAddress, clock.Now()); c != nil {
		c.registered = &Peer{Identity: id}
	}
}

// add returns the contact for an address and creates it if needed. It returns nil for this node's own address and for one
// that cannot be parsed.
func (n *Node) add(address string, now time.Time) *contact {
	if address == n.self.GossipAddress {
		return nil
	}
	if c, ok := n.contacts[address]; ok {
		return c
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	c := &contact{address: parsed, addedAt: now}
	n.contacts[address] = c
	return c
}

// Kick requests an urgent round of beats, ahead of the regular interval.
func (n *Node) Kick() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// Run sends and receives beats until ctx ends, then sends a final urgent round.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); n.receive(ctx) }()
	for due := clock.Now(); ctx.Err() == nil; {
		if loop.SleepOrWake(ctx, clock.Until(due), n.kick) {
			n.sendRound(clock.Now(), true)
			time.Sleep(minUrgentInterval)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		n.sendRound(clock.Now(), false)
		every := n.roundInterval()
		due = clock.Now().Add(every + time.Duration(rand.Int64N(int64(every/10)))) //nolint:gosec // jitter
	}
	n.sendRound(clock.Now(), true)
	<-done
	return nil
}

// roundInterval returns the interval between two rounds of beats, which is longer for an idle node whose relay answers.
func (n *Node) roundInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastStatus.Idle && n.upstream(clock.Now()) != nil {
		return idleInterval
	}
	return HeartbeatInterval
}

// sampleKnownNodes returns up to maxKnownPerBeat live nodes to list in a beat. In a large fleet these are relays, so that
// all nodes soon agree on the relays, and one random live node. The random one is needed because a node that knows no more
// than SmallFleet nodes considers itself a relay and reports to no other: if the beats that it receives listed only relays,
// it would never discover the other nodes.
func (n *Node) sampleKnownNodes(now time.Time) []*gossippb.KnownNode {
	var out []*gossippb.KnownNode
	add := func(p *Peer) { out = append(out, &gossippb.KnownNode{Vm: p.VM, GossipAddress: p.GossipAddress}) }
	if len(n.relays) >= maxKnownPerBeat {
		add(n.relays[0])
		add(n.relays[1+rand.IntN(len(n.relays)-1)]) //nolint:gosec // need not be secure
		if live := n.live(now); len(live) > 0 {
			add(live[rand.IntN(len(live))]) //nolint:gosec // need not be secure
		}
		return out
	}
	for _, c := range n.contacts { // in random order
		if len(out) == maxKnownPerBeat {
			return out
		}
		if c.alive(now) {
			add(c.peer)
		}
	}
	return out
}
