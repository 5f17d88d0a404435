package network

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// dialWait bounds the wait for a new connection.
	dialWait = 300 * time.Millisecond
	// heldUp is how often a sender looks whether a cut has ended.
	heldUp = 50 * time.Millisecond
)

// errRefused means that nobody listens at an address.
var errRefused = errors.New("connection refused")

// stream is one end of a connection.
type stream struct {
	net.Conn
	from *Port
	to   netip.AddrPort
	once sync.Once
	gone chan struct{}

	mu      sync.Mutex
	replies bool // the last thing done was to read, so that a write is the next message
}

// Dial connects to another node.
func (p *Port) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	other, delay := p.net.reach(p, to, 0, 0)
	if other == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	time.Sleep(2 * delay)
	select {
	case other.calls <- newStream(far, other, p.address):
		return newStream(near, p, to), nil
	case <-other.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newStream(c net.Conn, from *Port, to netip.AddrPort) *stream {
	return &stream{Conn: c, from: from, to: to, gone: make(chan struct{}), replies: true}
}

// Read takes in what the other end has sent.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.mu.Lock()
	s.replies = true
	s.mu.Unlock()
	return n, err
}

// Write sends after the way's delay, once for each message; while the way is cut it waits.
func (s *stream) Write(b []byte) (int, error) {
	other, delay := s.from.net.reach(s.from, s.to, len(b), 0)
	for other == nil {
		select {
		case <-s.gone:
			return 0, net.ErrClosed
		case <-time.After(heldUp):
		}
		other, delay = s.from.net.reach(s.from, s.to, 0, 0)
	}
	s.mu.Lock()
	first := s.replies
	s.replies = false
	s.mu.Unlock()
	if first {
		time.Sleep(delay)
	}
	return s.Conn.Write(b)
}

// Close ends the connection.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.gone) })
	return s.Conn.Close()
}

// Listener takes the connections of other nodes to p.
func (p *Port) Listener() net.Listener { return &listener{port: p} }

type listener struct {
	port *Port
	once sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case s := <-l.port.calls:
		return s, nil
	case <-l.port.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.port.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.port.address) }
