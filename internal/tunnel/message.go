// Package tunnel carries a TCP connection to an endpoint through another node. The nodes exchange one message each, and from
// then on the bytes of the connection pass unchanged in both directions.
package tunnel

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"
)

// Prefix begins each tunnel, to tell it from the drpc connections that arrive at the same listener.
const Prefix = "MOORTUN1"

// maxMessage is the largest message in bytes.
const maxMessage = 512

var errMessageTooLong = errors.New("the message of the other node is too long")

// request asks a node to connect to an endpoint. Each message is a line of JSON.
type request struct {
	Address string        `json:"address"`
	Timeout time.Duration `json:"timeout_ns"`
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
	Result result `json:"result"`
}

func writeMessage(to net.Conn, message any) error {
	line, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = to.Write(append(line, '\n'))
	return err
}

// readMessage reads one line and nothing of what follows it.
func readMessage(from net.Conn, message any) error {
	var line []byte
	var next [1]byte
	for {
		if _, err := io.ReadFull(from, next[:]); err != nil {
			return err
		}
		if next[0] == '\n' {
			return json.Unmarshal(line, message)
		}
		if line = append(line, next[0]); len(line) > maxMessage {
			return errMessageTooLong
		}
	}
}
