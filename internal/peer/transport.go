package peer

import (
	"net"
	"time"
)

// transport closes a connection on which nothing has moved for a while, so that a half-open
// connection to a dead VM does not hold anyone up.
type transport struct {
	net.Conn
	idle time.Duration
}

// Read implements net.Conn with a deadline of its own.
func (t transport) Read(p []byte) (int, error) {
	if err := t.SetReadDeadline(time.Now().Add(t.idle)); err != nil {
		return 0, err
	}
	return t.Conn.Read(p)
}

// Write implements net.Conn with a deadline of its own.
func (t transport) Write(p []byte) (int, error) {
	if err := t.SetWriteDeadline(time.Now().Add(t.idle)); err != nil {
		return 0, err
	}
	return t.Conn.Write(p)
}

// listener wraps what it accepts in transport.
type listener struct {
	net.Listener
	idle time.Duration
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return transport{c, l.idle}, nil
}
