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
	// dialTimeout bounds Dial.
	dialTimeout = 300 * time.Millisecond
	// reachPollInterval is the interval at which a blocked write checks whether the receiver is reachable again.
	reachPollInterval = 50 * time.Millisecond
)

// errRefused is returned by Dial when the listener at the address is closed.
var errRefused = errors.New("connection refused")

// conn is one end of a connection.
type conn struct {
	net.Conn
	from   *Port
	to     netip.AddrPort
	once   sync.Once
	closed chan struct{}

	mu            sync.Mutex
	startsMessage bool // no write since the last read, so the next write begins a message
}

// Dial connects to the node at address. It waits for the timeout if the node is unreachable.
func (p *Port) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	other, delay := p.network.transmit(p, to, 0, 0)
	if other == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	time.Sleep(2 * delay)
	select {
	case other.incoming <- newConn(far, other, p.address):
		return newConn(near, p, to), nil
	case <-other.listenerClosed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newConn(c net.Conn, from *Port, to netip.AddrPort) *conn {
	return &conn{Conn: c, from: from, to: to, closed: make(chan struct{}), startsMessage: true}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.startsMessage = true
	c.mu.Unlock()
	return n, err
}

// Write implements net.Conn. The first write of a message waits for the one-way delay; any write blocks while the
// receiver is unreachable.
func (c *conn) Write(b []byte) (int, error) {
	other, delay := c.from.network.transmit(c.from, c.to, len(b), 0)
	for other == nil {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(reachPollInterval):
		}
		other, delay = c.from.network.transmit(c.from, c.to, 0, 0)
	}
	c.mu.Lock()
	first := c.startsMessage
	c.startsMessage = false
	c.mu.Unlock()
	if first {
		time.Sleep(delay)
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Listener returns a listener for the connections that other nodes dial to p.
func (p *Port) Listener() net.Listener { return &listener{port: p} }

type listener struct {
	port *Port
	once sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.port.incoming:
		return c, nil
	case <-l.port.listenerClosed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.port.listenerClosed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.port.address) }
