// Package gossip lets the nodes of a fleet find and hear each other: some times a second each tells its loads, what
// it doubts, and how current its copy of the platform's store is.
//
// In a small fleet each node sends every other a datagram. In a larger one some nodes are relays: every other node
// reports to one of them, which answers with what the whole fleet has, and subscribes to a second one. The relays
// tell each other the sum of what they and those that report to them have. So what a node sends and takes in grows
// with the root of the fleet's size.
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
	// Every is the interval between two beats to a live node.
	Every = 100 * time.Millisecond
	// LiveFor is how long a node counts as live after it was last heard.
	LiveFor = 800 * time.Millisecond
	// idleEvery and idleStandbyEvery are the intervals of a node without requests to its two relays. What it has to know,
	// who is in the fleet and how current its configuration is, bears such an age; it sends and takes in a fifth.
	idleEvery        = 500 * time.Millisecond
	idleStandbyEvery = time.Second
	// idleLiveFor is how long an idle node and its relays count as live to each other after they were last heard.
	idleLiveFor = 2 * time.Second
	// slowEvery is the interval between two beats to a node that does not answer.
	slowEvery = 700 * time.Millisecond
	// standbyEvery is the interval between two beats to the second relay.
	standbyEvery = 300 * time.Millisecond
	// retryRelay is how long a relay that did not answer is left out.
	retryRelay = 4 * time.Second
	// forgetAfter is how long a node that does not answer is kept.
	forgetAfter = 40 * time.Second
	// rosterFor is how long a roster is kept that no relay goes by any more.
	rosterFor = 2 * time.Second
	// viewFor is how old what is worked out of the beats may get before it is worked out again.
	viewFor = 20 * time.Millisecond
	// kickPause is the least time between two urgent rounds of beats. While a fleet starts everything is news to
	// everyone: with 10 ms 68 nodes sent each other 440 MB in their first six seconds.
	kickPause = 50 * time.Millisecond
	// rosterEvery is how often a relay of a large fleet lists anew who reports to it, unless one of them leaves: while a
	// fleet starts the list changes all the time, and each of its versions goes to every node.
	rosterEvery = time.Second
	// straysARound is how many nodes beside its relays a node tells in one round at most.
	straysARound = 6
	// maxDatagram is the size in bytes of the largest beat taken in.
	maxDatagram = 60 << 10
	// knownPart is how many other nodes are told of in one beat: the first relays and one of the others by chance, ten
	// times a second, so that the views of a fleet that starts agree within some three seconds.
	knownPart = 3
)

// Conn sends and takes in datagrams; a *net.UDPConn is one.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	SetReadDeadline(t time.Time) error
}

// Node is this process's part in the gossip.
type Node struct {
	self   Identity
	conn   Conn
	status func(now time.Time) Status
	// OnBeat is called with each beat taken in; it must not block.
	OnBeat func(p *Peer)
	// Quarantine is what the nodes tell each other of requests that end endpoints; nil if they do not.
	Quarantine *quarantine.Table
	// CapacityOfRequest is how much of the nodes that callers use one running request needs, in thousandths of a core.
	CapacityOfRequest float64
	// OnSent is called with each beat sent and its size in bytes; it must not block.
	OnSent func(kind BeatKind, size int)

	mu         sync.Mutex
	peers      map[string]*contact // by gossip address
	rosters    map[uint64]*roster  // by digest
	relays     []*Peer             // the other nodes that should be relays
	own        *roster             // while this node is a relay
	ownAt      time.Time
	ownStale   bool        // a node of it has said something that is passed on at once
	view       partialView // while this node is a relay
	toldNodes  int         // in the fleet, as a relay has said
	toldAt     time.Time
	seen       map[string]time.Time
	zoneSeen   map[string]time.Time // a live node of that data centre was last known
	relaying   bool
	subscribed []string // addresses of the relays that this node reports and subscribes to
	last       Status   // what this node said last

	liveAt   time.Time
	liveList []*Peer
	changed  bool // something was heard since liveList was made
	others   *Totals
	othersAt time.Time
	kick     chan struct{}
}

// NewNode returns a Node that sends and hears on conn; status tells what to say.
func NewNode(self Identity, conn Conn, status func(now time.Time) Status) *Node {
	return &Node{
		self: self, conn: conn, status: status, peers: make(map[string]*contact), rosters: make(map[uint64]*roster),
		seen: make(map[string]time.Time), zoneSeen: make(map[string]time.Time), kick: make(chan struct{}, 1),
	}
}

// Self returns this process's identity.
func (n *Node) Self() Identity { return n.self }

// Add makes an address known as one of another node.
func (n *Node) Add(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.add(a, clock.Now())
	}
}

// Introduce makes a registered node known. Until it is heard it counts only where relays are chosen, so that the nodes
// of a fleet that starts agree on these before they have all met.
func (n *Node) Introduce(id Identity) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.add(id.GossipAddress, clock.Now()); c != nil {
		c.told = &Peer{Identity: id}
	}
}

func (n *Node) add(address string, now time.Time) *contact {
	if address == n.self.GossipAddress {
		return nil
	}
	if c, ok := n.peers[address]; ok {
		return c
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	c := &contact{address: parsed, added: now}
	n.peers[address] = c
	return c
}

// Kick sends a beat to everyone at once.
func (n *Node) Kick() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// Run sends and takes in beats until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); n.receive(ctx) }()
	for due := clock.Now(); ctx.Err() == nil; {
		if loop.SleepOr(ctx, clock.Until(due), n.kick) {
			n.send(clock.Now(), true)
			time.Sleep(kickPause)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		n.send(clock.Now(), false)
		every := n.roundEvery()
		due = clock.Now().Add(every + time.Duration(rand.Int64N(int64(every/10)))) //nolint:gosec // jitter
	}
	n.send(clock.Now(), true)
	<-done
	return nil
}

// roundEvery is the interval between two rounds of beats: longer for an idle node whose relay answers.
func (n *Node) roundEvery() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.last.Idle && n.upstream(clock.Now()) != nil {
		return idleEvery
	}
	return Every
}

// known returns some of the nodes that are heard. Of a large fleet these are relays, so that all nodes soon agree on who
// relays, and any other node: one that hears no more than a small fleet has takes itself for a relay, as do all nodes of a
// small fleet. It reports to nobody then, and if it were told of relays only it would never get to know the rest.
func (n *Node) known(now time.Time) []*gossippb.KnownNode {
	var out []*gossippb.KnownNode
	tell := func(p *Peer) { out = append(out, &gossippb.KnownNode{Vm: p.VM, GossipAddress: p.GossipAddress}) }
	if len(n.relays) >= knownPart {
		for _, p := range n.relays[:knownPart-1] {
			tell(p)
		}
		if live := n.live(now); len(live) > 0 {
			tell(live[rand.IntN(len(live))]) //nolint:gosec // any will do
		}
		return out
	}
	for _, c := range n.peers { // in random order
		if len(out) == knownPart {
			return out
		}
		if c.fresh(now) {
			tell(c.peer)
		}
	}
	return out
}
