// Package silence emulates network paths on which open connections stop transferring data for good while new ones
// work: no reset arrives, and writes succeed but are discarded.
package silence

import (
	"errors"
	"net"
	"os"
	"sync"
)

// Listener wraps another listener. After a call of Silence, the connections that were open at that time neither deliver
// nor send any data.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*conn]bool
}

// New returns a Listener that wraps lis.
func New(lis net.Listener) *Listener { return &Listener{Listener: lis, open: make(map[*conn]bool)} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	return c, nil
}

// Silence makes all open connections silent and returns their number.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.open)
	for c := range l.open {
		close(c.silent)
		delete(l.open, c)
	}
	return n
}

// conn is a connection that Silence can make silent.
type conn struct {
	net.Conn
	listener *Listener
	silent   chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// Read implements net.Conn. On a silent connection it discards what arrives; the read deadline still applies, as on a
// connection on which nothing arrives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch {
		case !c.isSilent():
			return n, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			return 0, err
		case err != nil: // the peer has closed the connection, which a silent one must not show
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
