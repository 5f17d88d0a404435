package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const bufferSize = 8 << 10

// splice passes bytes between a node and an endpoint until one of them closes its connection. fromNode reads what the node sends.
func splice(fromNode io.Reader, toNode sender, endpoint net.Conn) End {
	var end End
	var both sync.WaitGroup
	both.Go(func() {
		_, _ = copyBytes(endpoint, fromNode)
		_ = endpoint.Close() // a node that closes has given the request up
	})
	both.Go(func() {
		end = passOn(toNode, endpoint)
		toNode.finish(end)
	})
	both.Wait()
	return end
}

// passOn passes bytes from the endpoint to the node until either connection ends.
func passOn(to sender, endpoint net.Conn) End {
	for {
		n, err := endpoint.Read(to.buffer())
		if n > 0 {
			if err := to.send(n); err != nil {
				return NodeClosed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return EndpointClosed
		case errors.Is(err, net.ErrClosed): // by splice, once the node has closed
			return NodeClosed
		default:
			return EndpointBroke
		}
	}
}

// copyBytes copies until from ends. It hides the types of the connections: io.Copy would use system calls that need a pipe for
// each direction.
func copyBytes(to io.Writer, from io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, bufferSize))
}

// closeOrderly ends what the other side reads and leaves it lingerTime to close as well.
func closeOrderly(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || errors.Is(half.CloseWrite(), errors.ErrUnsupported) {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
}
