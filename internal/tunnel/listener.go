package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"storj.io/drpc/drpcmigrate"
)

// prefixTimeout bounds the wait for the first bytes of a connection, which tell what it is for.
const prefixTimeout = 5 * time.Second

// prefixFamily begins the prefixes of all versions.
const prefixFamily = "MOORTUN"

var errOtherVersion = errors.New("it asks for a tunnel of another version")

// Split divides the connections of a listener into tunnels and all others. Both listeners deliver connections while run does.
// onRejected is called for connections that are closed; it must not block.
func Split(lis net.Listener, onRejected func(remote net.Addr, err error)) (tunnels, others net.Listener, run func(ctx context.Context) error) {
	mux := drpcmigrate.NewListenMux(&timeoutListener{lis}, len(Prefix))
	return &tunnelListener{mux.Route(Prefix)}, &otherListener{mux.Default(), onRejected}, mux.Run
}

// timeoutListener gives connections prefixTimeout to send their first bytes.
type timeoutListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(prefixTimeout))
	}
	return c, err
}

// tunnelListener accepts tunnels, without a deadline.
type tunnelListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *tunnelListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return c, err
}

// otherListener accepts all other connections, without a deadline, and closes those that ask for a tunnel of another version: as a
// drpc connection they would wait for more.
type otherListener struct {
	net.Listener
	onRejected func(remote net.Addr, err error)
}

// Accept implements net.Listener.
func (l *otherListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		var prefix [len(Prefix)]byte // has arrived: the listener has read it before
		if _, err := io.ReadFull(c, prefix[:]); err != nil {
			_ = c.Close()
			continue
		}
		if strings.HasPrefix(string(prefix[:]), prefixFamily) {
			l.onRejected(c.RemoteAddr(), errOtherVersion)
			_ = c.Close()
			continue
		}
		_ = c.SetReadDeadline(time.Time{})
		return &prefixedConn{c, prefix[:]}, nil
	}
}

// prefixedConn is a connection from which a prefix has been read, which it returns again.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}
