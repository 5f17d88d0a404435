package tunnel_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a node that goes on carrying what an endpoint sends without end after the other node has given the answer up.
func TestBytesWithoutEndEndWithTheConnectionOfTheOtherNode(t *testing.T) {
	closed := make(chan bool)
	endpoint := endpointThat(t, func(c *net.TCPConn) {
		for {
			if _, err := c.Write(bytes.Repeat([]byte("x"), 4<<10)); err != nil {
				close(closed)
				return
			}
		}
	})
	node, _ := serve(t, dialTCP, true)
	c, err := open(t, node, endpoint)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(c, make([]byte, 64<<10))
	qt.Assert(t, err, qt.IsNil)
	_ = c.Close()
	select {
	case <-closed:
	case <-time.After(waitLimit):
		t.Fatal("the endpoint's connection stays open")
	}
}
