package reach

import (
	"moorrun.dev/moorrun/internal/tunnel"
)

// detourConn is a connection to an endpoint through another node.
type detourConn struct {
	*tunnel.Conn
	dialer        *Dialer
	address, peer string
}

// Reusable reports whether the connection may carry another request. Requests return to the direct path as soon as it works, and
// leave a node that is stopping.
func (c *detourConn) Reusable() bool {
	return c.Drained() && (c.dialer.Monitor.Isolated() || c.dialer.paths.isBroken(c.address)) && c.dialer.Usable(c.peer)
}

// wrap returns the connection through a node as one whose end is reported.
func (d *Dialer) wrap(c *tunnel.Conn, address, peer string) *detourConn {
	c.OnEnd = func(e tunnel.End, err error) { d.OnDetourEnd(peer, address, e, err) }
	return &detourConn{c, d, address, peer}
}
