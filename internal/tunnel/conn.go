package tunnel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// ErrBroken means that the connection to the other node ended before that node told how the endpoint's connection did.
var ErrBroken = errors.New("the connection to the other node broke")

// errEndpointBroke means that the connection between the other node and the endpoint broke.
var errEndpointBroke = fmt.Errorf("the endpoint broke the connection of the other node: %w", syscall.ECONNRESET)

// errNoEnd is returned if the connection to the other node ends in an ordinary way, as the kernel ends it when that node's process
// dies.
var errNoEnd = fmt.Errorf("%w without a word on the endpoint's connection: %w", ErrBroken, io.ErrUnexpectedEOF)

// Conn is a connection to an endpoint through another node. Only one goroutine may read at a time.
type Conn struct {
	net.Conn
	// OnEnd is called once, with the error of Read, when the bytes from the endpoint have come to an end; nil for none. It must be
	// set before the first Read and must not block.
	OnEnd func(e End, err error)

	in      *bufio.Reader
	witness *witness // of a node of an earlier version, which sends no frames; nil otherwise
	left    int      // unread bytes of the present frame's payload
	ended   error
}

// Read implements net.Conn. It returns io.EOF only if the endpoint has closed its connection. It may be called again after a
// timeout.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.read(p)
	if err == nil || isLocal(err) {
		return n, err
	}
	c.ended = err
	if c.OnEnd != nil {
		c.OnEnd(endOf(err), err)
	}
	return n, err
}

func (c *Conn) read(p []byte) (int, error) {
	if c.witness != nil {
		n, err := c.in.Read(p)
		if errors.Is(err, io.EOF) && c.witness.isAlive() {
			return n, io.EOF
		}
		return n, brokenBy(err)
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.in.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, brokenBy(err)
}

// readHeader reads the header of the next frame. Until it has arrived completely nothing is consumed, so that a read that timed
// out can be repeated.
func (c *Conn) readHeader() error {
	b, err := c.in.Peek(headerSize)
	if err != nil {
		return brokenBy(err)
	}
	kind, length, err := parseHeader(b)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	_, _ = c.in.Discard(headerSize)
	switch kind {
	case frameClosed:
		return io.EOF
	case frameBroke:
		return errEndpointBroke
	default:
		c.left = length
		return nil
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.witness != nil {
		c.witness.close()
	}
	return c.Conn.Close()
}

// Drained reports whether all bytes that have arrived were read. It must not be called during a Read.
func (c *Conn) Drained() bool { return c.left == 0 && c.in.Buffered() == 0 && c.ended == nil }

// SyscallConn implements syscall.Conn, if the connection to the other node does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// brokenBy wraps an error of the connection to the other node. An end of that connection says nothing about the endpoint's.
func brokenBy(err error) error {
	switch {
	case err == nil, isLocal(err):
		return err
	case errors.Is(err, io.EOF):
		return errNoEnd
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// isLocal reports whether err is a timeout or this node's own Close.
func isLocal(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

func endOf(err error) End {
	switch {
	case errors.Is(err, io.EOF):
		return EndpointClosed
	case errors.Is(err, errEndpointBroke):
		return EndpointBroke
	default:
		return TunnelBroke
	}
}
