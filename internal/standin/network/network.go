// Package network emulates a network between many nodes in one process and counts the bytes that each node sends. It is
// used in a synctest bubble, where time advances only while all goroutines are blocked.
package network

import (
	"net/netip"
	"sync"
	"time"
)

const (
	localDelay           = 100 * time.Microsecond
	crossDataCentreDelay = 1400 * time.Microsecond
	inboxSize            = 1024
	// DataCentres is the number of data centres, to which nodes are assigned round-robin.
	DataCentres = 5
	peerPort    = 7340
)

// Network delivers datagrams and connections between the ports of nodes.
type Network struct {
	mu          sync.Mutex
	ports       map[netip.AddrPort]*Port
	partitioned map[[2]netip.AddrPort]bool // pairs of nodes that cannot reach each other
}

// New returns a Network without nodes.
func New() *Network { return &Network{ports: make(map[netip.AddrPort]*Port)} }

// Open returns a new port for node i. An earlier port of the same node becomes unreachable.
func (n *Network) Open(i int) *Port {
	dataCentre := i % DataCentres
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre), byte(i >> 8), byte(i)}), peerPort)
	p := &Port{
		network: n, address: address, dataCentre: dataCentre, inbox: make(chan []byte, inboxSize), incoming: make(chan *conn), readClosed: make(chan struct{}),
		listenerClosed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if earlier := n.ports[address]; earlier != nil {
		earlier.unreachable = true
	}
	n.ports[address] = p
	return p
}

// Partition cuts the path between two nodes; it replaces an earlier partition.
func (n *Network) Partition(a, b *Port) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = map[[2]netip.AddrPort]bool{{a.address, b.address}: true, {b.address, a.address}: true}
}

// Split assigns nodes to a part of the network. Nodes in different parts cannot reach each other; all nodes begin in part 0.
func (n *Network) Split(part int, ports ...*Port) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range ports {
		p.part = part
	}
}

// Part returns the part of the network that a node is in.
func (n *Network) Part(p *Port) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.part
}

// SetUnreachable makes nodes unreachable, or reachable again.
func (n *Network) SetUnreachable(unreachable bool, ports ...*Port) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range ports {
		p.unreachable = unreachable
	}
}

// Sent returns the traffic that the node has sent so far.
func (n *Network) Sent(p *Port) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.sent
}

// transmit counts size bytes and the given number of datagrams as sent by from. It returns the receiver and the one-way
// delay, or nil if to cannot be reached.
func (n *Network) transmit(from *Port, to netip.AddrPort, size, datagrams int) (*Port, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.ports[to]
	from.sent.Datagrams += datagrams
	from.sent.Bytes += size
	if datagrams > 0 {
		from.sent.DatagramBytes += size
	}
	if other == nil || from.unreachable || other.unreachable || from.part != other.part || n.partitioned[[2]netip.AddrPort{from.address, to}] {
		return nil, 0
	}
	if other.dataCentre == from.dataCentre {
		return other, localDelay
	}
	from.sent.CrossDataCentreBytes += size
	return other, crossDataCentreDelay
}
