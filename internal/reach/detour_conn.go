package reach

import "net"

// detourConn is a connection to an endpoint through another node. It keeps the methods of the TCP connection to that node.
type detourConn struct {
	*net.TCPConn
	dialer        *Dialer
	address, peer string
}

// Reusable reports whether the connection may carry another request. Requests return to the direct path as soon as it works, and
// leave a node that is stopping.
func (c *detourConn) Reusable() bool {
	return (c.dialer.Monitor.Isolated() || c.dialer.paths.isBroken(c.address)) && c.dialer.Usable(c.peer)
}

// wrap returns the connection through a node, as one that can be reused if it is a TCP connection.
func (d *Dialer) wrap(c net.Conn, address, peer string) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &detourConn{tcp, d, address, peer}
}
