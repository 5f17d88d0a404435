// Package netconn holds what servers need of connections and listeners beyond the standard library: how connections end, and which
// errors of accept pass.
package netconn

import "net"

// ResetOnClose determines how a TCP connection ends when it is closed, by this process or by the kernel at the end of the process. With
// on set it is reset, and what the peer has not received is dropped; otherwise it ends in an ordinary way after all has been
// delivered. It does nothing to other connections.
func ResetOnClose(c net.Conn, on bool) {
	const drop, deliver = 0, -1
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	linger := deliver
	if on {
		linger = drop
	}
	_ = tcp.SetLinger(linger)
}
