// Package network is a stand-in network between many nodes of one process. It is used in a synctest bubble, where time
// passes only while everyone waits, and counts what each node sends.
package network

import (
	"net/netip"
	"sync"
	"time"
)

const (
	nearDelay = 100 * time.Microsecond
	farDelay  = 1400 * time.Microsecond
	inboxSize = 1024
	// DataCentres is over how many data centres the nodes are spread in turn.
	DataCentres = 5
	peerPort    = 7340
)

// Network carries datagrams and connections between nodes.
type Network struct {
	mu    sync.Mutex
	ports map[netip.AddrPort]*Port
	apart map[[2]netip.AddrPort]bool // pairs that do not reach each other
}

// New returns a Network without nodes.
func New() *Network { return &Network{ports: make(map[netip.AddrPort]*Port)} }

// Open returns the end of node i. That of an earlier life of the node reaches nobody any more.
func (w *Network) Open(i int) *Port {
	zone := i % DataCentres
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), peerPort)
	p := &Port{
		net: w, address: address, zone: zone, inbox: make(chan []byte, inboxSize), calls: make(chan *stream), done: make(chan struct{}),
		closed: make(chan struct{}),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if earlier := w.ports[address]; earlier != nil {
		earlier.cut = true
	}
	w.ports[address] = p
	return p
}

// Partition keeps two nodes from reaching each other.
func (w *Network) Partition(a, b *Port) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apart = map[[2]netip.AddrPort]bool{{a.address, b.address}: true, {b.address, a.address}: true}
}

// SetUnreachable makes nodes unreachable, or reachable again.
func (w *Network) SetUnreachable(cut bool, ports ...*Port) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range ports {
		p.cut = cut
	}
}

// Sent returns what the node has sent so far.
func (w *Network) Sent(p *Port) Traffic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.sent
}

// reach counts size bytes from one node to another, and returns the way's delay and the receiver, or nil if they do not
// reach each other.
func (w *Network) reach(from *Port, to netip.AddrPort, size, datagrams int) (*Port, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	other := w.ports[to]
	from.sent.Datagrams += datagrams
	from.sent.Bytes += size
	if datagrams > 0 {
		from.sent.DatagramBytes += size
	}
	if other == nil || from.cut || other.cut || w.apart[[2]netip.AddrPort{from.address, to}] {
		return nil, 0
	}
	if other.zone == from.zone {
		return other, nearDelay
	}
	from.sent.CrossDataCentreBytes += size
	return other, farDelay
}
