package network

import (
	"net/netip"
	"os"
	"time"
)

// Traffic is what nodes have sent.
type Traffic struct {
	Datagrams            int
	Bytes                int // of datagrams and connections
	DatagramBytes        int // of Bytes, in datagrams
	CrossDataCentreBytes int // of Bytes, to other data centres
}

// Port is one node's end of a network.
type Port struct {
	net     *Network
	address netip.AddrPort
	zone    int
	inbox   chan []byte
	calls   chan *stream  // new connections
	done    chan struct{} // closed when reading ends
	closed  chan struct{} // closed when no more connections are taken

	cut  bool
	sent Traffic
}

// Address returns the node's address.
func (p *Port) Address() string { return p.address.String() }

// DataCentre returns the number of the node's data centre.
func (p *Port) DataCentre() int { return p.zone }

// ReadFromUDPAddrPort takes in a datagram.
func (p *Port) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case content := <-p.inbox:
		return copy(b, content), netip.AddrPort{}, nil
	case <-p.done:
		return 0, netip.AddrPort{}, os.ErrDeadlineExceeded
	}
}

// WriteToUDPAddrPort sends a datagram.
func (p *Port) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	other, delay := p.net.reach(p, to, len(b), 1)
	if other == nil {
		return len(b), nil
	}
	content := append([]byte(nil), b...)
	time.AfterFunc(delay, func() { other.deliver(content) })
	return len(b), nil
}

func (p *Port) deliver(content []byte) {
	select {
	case p.inbox <- content:
	default: // lost, as when a socket's buffer is full
	}
}

// SetReadDeadline ends the reading of datagrams.
func (p *Port) SetReadDeadline(time.Time) error {
	close(p.done)
	return nil
}
