// Package silence is a stand-in for links on which open connections go silent for good while new ones work: no reset
// comes, and what is written is swallowed.
package silence

import (
	"errors"
	"net"
	"os"
	"sync"
)

// Listener hands out the connections of another listener. Those that are open when Silence is called say and hear nothing
// from then on.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*conn]bool
}

// New returns a Listener over lis.
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

// Silence makes the open connections silent and returns how many there are.
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

// conn is a connection that may go silent.
type conn struct {
	net.Conn
	listener *Listener
	silent   chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// Read implements net.Conn. What has arrived on a silent connection is not handed out; a deadline of the reader's own ends
// the wait, as it does where nothing comes.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch {
		case !c.isSilent():
			return n, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			return 0, err
		case err != nil: // the other side has closed it, which does not show
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
