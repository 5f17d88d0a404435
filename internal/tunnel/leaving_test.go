package tunnel_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/tunnel"
)

// Guards against answers that are cut off because they began through a node that was already leaving.
func TestLeavingNodeOpensNoTunnel(t *testing.T) {
	var leaving atomic.Bool
	endpoint := endpointThat(t, func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 1)) })
	address, s := serveUntil(t, leaving.Load)
	before, err := open(t, address, endpoint)
	qt.Assert(t, err, qt.IsNil)
	leaving.Store(true)
	_, err = open(t, address, endpoint)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, errors.Is(err, tunnel.ErrRefused), qt.IsFalse, qt.Commentf("a refusal would count against the endpoint"))
	qt.Check(t, s.Open(), qt.Equals, 1, qt.Commentf("the tunnel from before goes on"))
	_ = before.Close()
}

// serveUntil starts a node that connects others to endpoints until leaving reports true, and returns its address.
func serveUntil(t *testing.T, leaving func() bool) (string, *tunnel.Server) {
	t.Helper()
	lis := listen(t)
	tunnels, _, run := tunnel.Split(lis, func(net.Addr, error) {})
	s := &tunnel.Server{
		Dial: dialTCP, ReachesOthers: func(context.Context, string) bool { return true }, Leaving: leaving,
		OnTunnel: func() {}, OnEnd: func(tunnel.End) {}, OnRejected: func(net.Addr, error) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = run(ctx) }()
	go func() { _ = s.Serve(ctx, tunnels) }()
	return lis.Addr().String(), s
}
