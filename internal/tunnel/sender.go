package tunnel

import (
	"net"
	"time"

	"moorrun.dev/moorrun/internal/netconn"
)

// lingerTime is how long the node on whose behalf the tunnel is open may take to close it once the endpoint has finished.
const lingerTime = 5 * time.Second

// sender sends to a node what comes from an endpoint.
type sender interface {
	// buffer returns where to read the endpoint's next bytes to.
	buffer() []byte
	// send sends the first n bytes of the buffer.
	send(n int) error
	// finish tells the node how the endpoint's connection ended.
	finish(e End)
}

// newSender returns a sender with the given framing; empty for nodes of earlier versions.
func newSender(node net.Conn, framing string) sender {
	if framing == framingLength {
		return &frameSender{node: node, frame: make([]byte, headerSize+maxPayload)}
	}
	netconn.ResetOnClose(node, true)
	return &rawSender{node: node, bytes: make([]byte, bufferSize)}
}

// frameSender sends frames.
type frameSender struct {
	node  net.Conn
	frame []byte
}

func (s *frameSender) buffer() []byte { return s.frame[headerSize:] }

func (s *frameSender) send(n int) error {
	putHeader(s.frame, frameData, n)
	_, err := s.node.Write(s.frame[:headerSize+n])
	return err
}

func (s *frameSender) finish(e End) {
	kind := frameClosed
	switch e {
	case EndpointClosed:
	case EndpointBroke:
		kind = frameBroke
	default:
		_ = s.node.Close()
		return
	}
	putHeader(s.frame, kind, 0)
	if _, err := s.node.Write(s.frame[:headerSize]); err != nil {
		_ = s.node.Close()
		return
	}
	closeOrderly(s.node)
}

// rawSender sends bytes unchanged. The node takes an ordinary end of the connection for the end of the endpoint's answer, so all
// other ends are resets, also that by the kernel when this process dies.
type rawSender struct {
	node  net.Conn
	bytes []byte
}

func (s *rawSender) buffer() []byte { return s.bytes }

func (s *rawSender) send(n int) error {
	_, err := s.node.Write(s.bytes[:n])
	return err
}

func (s *rawSender) finish(e End) {
	if e == EndpointClosed {
		netconn.ResetOnClose(s.node, false)
		closeOrderly(s.node)
		return
	}
	_ = s.node.Close()
}
