package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	bufferSize = 8 << 10
	// lingerTime is how long the node on whose behalf the tunnel is open may take to close it once the endpoint has finished.
	lingerTime = 5 * time.Second
)

// splice passes bytes between a node and an endpoint until one of them closes its connection. An end of the endpoint's answer
// arrives as an end, and a broken connection as a broken one: the length of an answer may be told by its end alone.
func splice(node, endpoint net.Conn) End {
	var end End
	var both sync.WaitGroup
	both.Go(func() {
		_, _ = copyBytes(endpoint, node)
		_ = endpoint.Close() // a node that closes has given the request up
	})
	both.Go(func() {
		end = passOn(node, endpoint)
		if end != EndpointClosed {
			reset(node)
			return
		}
		closeWrite(node)
		_ = node.SetReadDeadline(time.Now().Add(lingerTime))
	})
	both.Wait()
	return end
}

// passOn passes bytes from the endpoint to the node until either connection ends.
func passOn(node, endpoint net.Conn) End {
	buffer := make([]byte, bufferSize)
	for {
		n, err := endpoint.Read(buffer)
		if n > 0 {
			if _, err := node.Write(buffer[:n]); err != nil {
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

// closeWrite ends what the other side reads, and closes a connection that cannot do that alone.
func closeWrite(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || errors.Is(half.CloseWrite(), errors.ErrUnsupported) {
		_ = c.Close()
	}
}

// reset breaks a connection, so that the other side does not take it for one that ended.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
