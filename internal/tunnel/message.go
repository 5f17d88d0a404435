// Package tunnel carries a TCP connection to an endpoint through another node. The nodes exchange one message each. From then on
// the bytes to the endpoint pass unchanged, and those from the endpoint in frames, which tell its end from that of the tunnel.
package tunnel

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"time"
)

// Prefix begins each tunnel, to tell it from the drpc connections that arrive at the same listener.
const Prefix = prefixFamily + "1"

// maxMessage is the largest message in bytes, including the end of its line.
const maxMessage = 512

var errMessageTooLong = errors.New("the message of the other node is too long")

// request asks a node to connect to an endpoint. Each message is a line of JSON, of which a node ignores fields that it does not
// know.
type request struct {
	Address string        `json:"address"`
	Timeout time.Duration `json:"timeout_ns"`
	// Framings are the framings of the answer that the sender can read. Nodes of earlier versions know none.
	Framings []string `json:"framings,omitempty"`
}

// result is how the connection attempt ended.
type result string

const (
	connected result = "connected"
	// refused means that the node reaches other endpoints, and that nothing listens at this one's address.
	refused result = "refused"
	// failed means anything else, which says nothing about the endpoint.
	failed result = "failed"
)

type reply struct {
	Result  result `json:"result"`
	Framing string `json:"framing,omitempty"` // one of those in the request; empty for none
}

func writeMessage(to net.Conn, message any) error {
	line, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = to.Write(append(line, '\n'))
	return err
}

// readMessage reads one line. The buffer of from must hold at least maxMessage bytes.
func readMessage(from *bufio.Reader, message any) error {
	line, err := from.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxMessage {
		return errMessageTooLong
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(line, message)
}
