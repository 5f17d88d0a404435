// Package gossip lets the nodes of a fleet find and hear each other: each sends every other a datagram some
// times a second with its loads, what it doubts, and how current its copy of the platform's store is.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/freshness"
	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

const (
	// Every is the interval between two beats to a live node.
	Every = 100 * time.Millisecond
	// LiveFor is how long a node counts as live after it was last heard.
	LiveFor = 800 * time.Millisecond
	// slowEvery is the interval between two beats to a node that does not answer.
	slowEvery = 700 * time.Millisecond
	// forgetAfter is how long a node that does not answer is kept.
	forgetAfter = 40 * time.Second
	maxDatagram = 60 << 10
	knownPart   = 6 // other nodes told in one beat
)

// Node is this process's part in the gossip.
type Node struct {
	self   Identity
	conn   *net.UDPConn
	status func(now time.Time) Status
	// OnBeat is called with each beat taken in; it must not block.
	OnBeat func(p *Peer)

	mu    sync.Mutex
	peers map[string]*contact // by gossip address
	kick  chan struct{}
}

// contact is one address this node sends to.
type contact struct {
	address netip.AddrPort
	clock   freshness.Clock
	echo    uint64
	peer    *Peer // nil until heard
	sent    time.Time
	added   time.Time
	tick    uint64 // the highest taken in of that incarnation
}

// NewNode returns a Node that sends and hears on conn; status tells what to say.
func NewNode(self Identity, conn *net.UDPConn, status func(now time.Time) Status) *Node {
	return &Node{self: self, conn: conn, status: status, peers: make(map[string]*contact), kick: make(chan struct{}, 1)}
}

// Self returns this process's identity.
func (n *Node) Self() Identity { return n.self }

// Add makes an address known as one of another node.
func (n *Node) Add(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.add(a, time.Now())
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
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.kick:
			n.send(time.Now(), true)
		case <-timer.C:
			n.send(time.Now(), false)
			timer.Reset(Every + time.Duration(rand.Int64N(int64(Every/10)))) //nolint:gosec // jitter
		}
	}
	n.send(time.Now(), true)
	<-done
	return nil
}

func (n *Node) send(now time.Time, urgent bool) {
	status := n.status(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	common, err := proto.Marshal(toWire(n.self, status, n.known(now), now))
	if err != nil {
		return
	}
	for address, c := range n.peers {
		live := c.peer != nil && c.peer.Fresh(now, LiveFor)
		if !live && !urgent && now.Sub(c.sent) < slowEvery {
			continue
		}
		if c.lastSign().Add(forgetAfter).Before(now) {
			delete(n.peers, address)
			continue
		}
		c.sent = now
		// A second message appended to the first sets the fields that differ from peer to peer.
		own, err := proto.Marshal(&gossippb.Beat{Tick: c.clock.Next(now), Echo: c.echo})
		if err != nil {
			continue
		}
		_, _ = n.conn.WriteToUDPAddrPort(slices.Concat(common, own), c.address)
	}
}

func (c *contact) lastSign() time.Time {
	if c.peer != nil && c.peer.Heard.After(c.added) {
		return c.peer.Heard
	}
	return c.added
}

// known returns some of the nodes that are heard.
func (n *Node) known(now time.Time) []*gossippb.KnownNode {
	var out []*gossippb.KnownNode
	for address, c := range n.peers { // in random order
		if len(out) == knownPart {
			break
		}
		if c.peer != nil && c.peer.Fresh(now, LiveFor) {
			out = append(out, &gossippb.KnownNode{Vm: c.peer.VM, GossipAddress: address})
		}
	}
	return out
}

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
		if p := n.take(&b, time.Now()); p != nil && n.OnBeat != nil {
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
		n.add(k.GossipAddress, now)
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
	c.tick = b.Tick
	c.peer = fromWire(b, asOf)
	return c.peer
}

// Live returns the other nodes heard lately, in order of VM.
func (n *Node) Live(now time.Time) []*Peer { return n.list(now, LiveFor) }

// Known returns how many other nodes have been heard and are not forgotten.
func (n *Node) Known(now time.Time) int { return len(n.list(now, forgetAfter)) }

func (n *Node) list(now time.Time, within time.Duration) []*Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*Peer
	for _, c := range n.peers {
		if c.peer != nil && c.peer.Fresh(now, within) {
			out = append(out, c.peer)
		}
	}
	slices.SortFunc(out, func(a, b *Peer) int {
		switch {
		case a.VM < b.VM:
			return -1
		case a.VM > b.VM:
			return 1
		}
		return 0
	})
	return out
}
