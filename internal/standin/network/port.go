package network

import (
	"net/netip"
	"os"
	"time"
)

// Traffic counts what one or more nodes have sent.
type Traffic struct {
	Datagrams            int
	Bytes                int // in datagrams and on connections
	DatagramBytes        int // part of Bytes sent in datagrams
	CrossDataCentreBytes int // part of Bytes sent to other data centres
}

// Port is the network interface of one node.
type Port struct {
	network        *Network
	address        netip.AddrPort
	dataCentre     int
	inbox          chan []byte
	incoming       chan *conn    // connections to accept
	readClosed     chan struct{} // closed to end ReadFromUDPAddrPort
	listenerClosed chan struct{} // closed when the listener is closed

	unreachable bool
	part        int // of a split network
	sent        Traffic
}

// Address returns the node's address.
func (p *Port) Address() string { return p.address.String() }

// DataCentre returns the number of the node's data centre.
func (p *Port) DataCentre() int { return p.dataCentre }

// ReadFromUDPAddrPort waits for a datagram; it does not return the address of its sender.
func (p *Port) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case content := <-p.inbox:
		return copy(b, content), netip.AddrPort{}, nil
	case <-p.readClosed:
		return 0, netip.AddrPort{}, os.ErrDeadlineExceeded
	}
}

// WriteToUDPAddrPort sends a datagram; one to an unreachable node is lost without an error.
func (p *Port) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	other, delay := p.network.transmit(p, to, len(b), 1)
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
	default: // dropped, as when the receive buffer of a socket is full
	}
}

// SetReadDeadline ends ReadFromUDPAddrPort for good, whatever the deadline. It must be called only once.
func (p *Port) SetReadDeadline(time.Time) error {
	close(p.readClosed)
	return nil
}
