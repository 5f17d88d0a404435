package tunnel_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/tunnel"
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
	lis := listen(t)
	tunnels, _, run := tunnel.Split(lis, func(net.Addr, error) {})
	s := &tunnel.Server{
		Dial: dialTCP, ReachesOthers: func(context.Context, string) bool { return true },
		OnTunnel: func() {}, OnEnd: func(tunnel.End) {}, OnRejected: func(net.Addr, error) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = run(ctx) }()
	go func() { _ = s.Serve(ctx, tunnels) }()
	c, err := open(t, lis.Addr().String(), endpoint)
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
