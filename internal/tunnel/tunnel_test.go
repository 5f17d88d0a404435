package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/tunnel"
)

// waitLimit bounds waits that are long only if the code under test is faulty.
const waitLimit = 10 * time.Second

var errSilent = &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// serve starts a node that connects others to endpoints with dial, and returns its address and the connections that are no tunnels.
func serve(t testing.TB, dial func(ctx context.Context, address string) (net.Conn, error), reachesOthers bool) (string, net.Listener) {
	t.Helper()
	lis := listen(t)
	tunnels, others, run := tunnel.Split(lis, func(net.Addr, error) {})
	s := &tunnel.Server{Dial: dial, ReachesOthers: func(context.Context, string) bool { return reachesOthers }, OnTunnel: func() {}, OnEnd: func(tunnel.End) {}, OnRejected: func(net.Addr, error) {}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = run(ctx) }()
	go func() { _ = s.Serve(ctx, tunnels) }()
	return lis.Addr().String(), others
}

func open(t *testing.T, node, endpoint string) (*tunnel.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return tunnel.Dial(ctx, dialTCP, node, endpoint)
}

// endpointThat starts an endpoint that handles one connection.
func endpointThat(t testing.TB, handle func(c *net.TCPConn)) string {
	t.Helper()
	lis := listen(t)
	go func() {
		c, err := lis.Accept()
		if err == nil {
			handle(c.(*net.TCPConn))
		}
	}()
	return lis.Addr().String()
}

func TestBytesPassUnchangedAndAnEndArrivesAsOne(t *testing.T) {
	endpoint := endpointThat(t, func(c *net.TCPConn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		_, _ = c.Write([]byte("answer to " + line))
		_ = c.Close()
	})
	node, _ := serve(t, dialTCP, true)
	c, err := open(t, node, endpoint)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test ends
	_, err = c.Write([]byte("a request\n"))
	qt.Assert(t, err, qt.IsNil)
	answer, err := io.ReadAll(c)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(answer), qt.Equals, "answer to a request\n")
}

// Guards against an answer that the endpoint broke off and that looks complete, because its length is told by its end alone.
func TestBrokenConnectionDoesNotArriveAsAnEnd(t *testing.T) {
	endpoint := endpointThat(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("half of an ans"))
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	node, _ := serve(t, dialTCP, true)
	c, err := open(t, node, endpoint)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test ends
	_, err = io.ReadAll(c)
	qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against an endpoint that keeps working for a caller who has left.
func TestClosingEndsTheConnectionToTheEndpoint(t *testing.T) {
	ended := make(chan error, 1)
	endpoint := endpointThat(t, func(c *net.TCPConn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	node, _ := serve(t, dialTCP, true)
	c, err := open(t, node, endpoint)
	qt.Assert(t, err, qt.IsNil)
	_ = c.Close()
	select {
	case err := <-ended:
		qt.Check(t, err, qt.IsNotNil)
	case <-time.After(waitLimit):
		t.Error("the connection to the endpoint stays open")
	}
}

// Guards against taking an endpoint for ended because of a node that reaches no endpoint.
func TestRefusalCountsOnlyFromANodeThatReachesOtherEndpoints(t *testing.T) {
	refuse := func(context.Context, string) (net.Conn, error) {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	silent := func(context.Context, string) (net.Conn, error) { return nil, errSilent }
	for _, test := range []struct {
		name          string
		dial          func(context.Context, string) (net.Conn, error)
		reachesOthers bool
		wantRefused   bool
	}{{"refused", refuse, true, true}, {"refused, as all are", refuse, false, false}, {"silent", silent, true, false}} {
		t.Run(test.name, func(t *testing.T) {
			node, _ := serve(t, test.dial, test.reachesOthers)
			_, err := open(t, node, "127.0.0.1:1")
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, tunnel.ErrRefused), qt.Equals, test.wantRefused)
		})
	}
}

// Guards against breaking the calls of nodes that run an earlier version, which begin with other bytes.
func TestOtherConnectionsPassTheListener(t *testing.T) {
	node, others := serve(t, dialTCP, true)
	const sent = "not a tunnel"
	c, err := dialTCP(context.Background(), node)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test ends
	_, err = c.Write([]byte(sent))
	qt.Assert(t, err, qt.IsNil)
	accepted, err := others.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer accepted.Close() //nolint:errcheck // the test ends
	got := make([]byte, len(sent))
	_, err = io.ReadFull(accepted, got)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, sent)
}
