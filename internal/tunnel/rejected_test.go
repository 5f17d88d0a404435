package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/tunnel"
)

// Guards against a connection that is held open, or closed without a word, because of bytes that ask for no tunnel.
func TestBadInputIsRejectedAndReported(t *testing.T) {
	for _, test := range []struct {
		name, sent string
		closes     bool // the other side closes after what it has sent
		want       string
	}{
		{"too long", tunnel.Prefix + strings.Repeat("x", 4096), false, "too long"},
		{"torn", tunnel.Prefix + `{"address":"127.0.0.1:1`, true, "EOF"},
		{"no JSON", tunnel.Prefix + "GET / HTTP/1.1\r\n", false, "invalid character"},
		{"another version", "MOORTUN9" + `{"address":"127.0.0.1:1"}` + "\n", false, "another version"},
		{"silent after the prefix", tunnel.Prefix, false, "timeout"},
	} {
		t.Run(test.name, func(t *testing.T) {
			rejected := make(chan error, 1)
			onRejected := func(_ net.Addr, err error) { rejected <- err }
			lis := listen(t)
			tunnels, others, run := tunnel.Split(lis, onRejected)
			s := &tunnel.Server{OnRejected: onRejected}
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go func() { _ = run(ctx) }()
			go func() { _ = s.Serve(ctx, tunnels) }()
			go func() { _, _ = others.Accept() }()
			c, err := dialTCP(ctx, lis.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close() //nolint:errcheck // the test ends
			_, err = io.WriteString(c, test.sent)
			qt.Assert(t, err, qt.IsNil)
			if test.closes {
				qt.Assert(t, c.(*net.TCPConn).CloseWrite(), qt.IsNil)
			}
			select {
			case err := <-rejected:
				qt.Check(t, err, qt.ErrorMatches, "(?s).*"+test.want+".*")
			case <-time.After(waitLimit):
				t.Fatal("the connection is not rejected")
			}
			_ = c.SetReadDeadline(time.Now().Add(waitLimit))
			_, err = c.Read(make([]byte, 1))
			qt.Check(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("the connection stays open"))
		})
	}
}

// Guards against connections that hold a descriptor for good because they never tell what they are for.
func TestConnectionWithoutAPrefixIsClosed(t *testing.T) {
	t.Parallel()
	node, _ := serve(t, dialTCP, true)
	c, err := dialTCP(context.Background(), node)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test ends
	_, err = io.WriteString(c, tunnel.Prefix[:3])
	qt.Assert(t, err, qt.IsNil)
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	_, err = c.Read(make([]byte, 1))
	qt.Check(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("the connection stays open"))
}

// Guards against ending connections of other kinds that rest.
func TestConnectionsThatRestStayOpen(t *testing.T) {
	t.Parallel()
	node, others := serve(t, dialTCP, true)
	c, err := dialTCP(context.Background(), node)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test ends
	_, err = io.WriteString(c, "not a tunnel")
	qt.Assert(t, err, qt.IsNil)
	accepted, err := others.Accept()
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(accepted, make([]byte, len("not a tunnel")))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(tunnel.PrefixTimeout + 200*time.Millisecond)
	_, err = io.WriteString(c, "x")
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(accepted, make([]byte, 1))
	qt.Check(t, err, qt.IsNil)
}
