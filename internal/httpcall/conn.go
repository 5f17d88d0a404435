package httpcall

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is one connection to an endpoint with its buffers.
type conn struct {
	net.Conn
	address   string
	allowance *allowance // of what reader may read
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	reused    bool // it has carried a complete response before
}

func newConn(c net.Conn, address string) *conn {
	a := &allowance{Conn: c, left: maxOverhead}
	return &conn{Conn: c, address: address, allowance: a, reader: bufio.NewReader(a), writer: bufio.NewWriter(c)}
}

// keepable reports whether the connection may stay in the pool. What Client.DialEndpoint returns may say that it is not to be
// reused.
func (c *conn) keepable(now time.Time) bool {
	limited, ok := c.Conn.(interface{ Reusable() bool })
	return now.Sub(c.idleSince) <= maxIdleTime && (!ok || limited.Reusable())
}

// usable reports whether the idle connection is still open with nothing unread on it.
func (c *conn) usable(now time.Time) bool {
	if !c.keepable(now) || c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
