package tunnel

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Conn is a connection to an endpoint through another node. Only one goroutine may read at a time.
type Conn struct {
	net.Conn
	// OnEnd is called once, with the error of Read, when the bytes from the endpoint have come to an end; nil for none. It must be
	// set before the first Read and must not block.
	OnEnd func(e End, err error)

	ended bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordEnd(err)
	return n, err
}

// SyscallConn implements syscall.Conn, if the connection to the other node does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// recordEnd reports the first error that ends the connection. A timeout does not, and neither does this node's own Close.
func (c *Conn) recordEnd(err error) {
	if c.ended || err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.ended = true
	if c.OnEnd != nil {
		c.OnEnd(endOf(err), err)
	}
}

func endOf(err error) End {
	if errors.Is(err, io.EOF) {
		return EndpointClosed
	}
	return TunnelBroke
}
