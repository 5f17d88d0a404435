package peer

import (
	"net"
	"time"
)

// idleTimeoutConn fails each read or write that makes no progress within idleTimeout, so that a half-open
// connection to a dead VM does not block its user.
type idleTimeoutConn struct {
	net.Conn
	idleTimeout time.Duration
}

// Read implements net.Conn and sets a new deadline for each call.
func (t idleTimeoutConn) Read(p []byte) (int, error) {
	if err := t.SetReadDeadline(time.Now().Add(t.idleTimeout)); err != nil {
		return 0, err
	}
	return t.Conn.Read(p)
}

// Write implements net.Conn and sets a new deadline for each call.
func (t idleTimeoutConn) Write(p []byte) (int, error) {
	if err := t.SetWriteDeadline(time.Now().Add(t.idleTimeout)); err != nil {
		return 0, err
	}
	return t.Conn.Write(p)
}

// idleTimeoutListener wraps each accepted connection in an idleTimeoutConn.
type idleTimeoutListener struct {
	net.Listener
	idleTimeout time.Duration
}

// Accept implements net.Listener.
func (l idleTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return idleTimeoutConn{c, l.idleTimeout}, nil
}
