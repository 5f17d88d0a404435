package tunnel_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/tunnel"
)

const (
	wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	cutHead       = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
)

// startCutEndpoint starts an endpoint whose first answer on a connection is whole, and whose second is received from second. It then
// closes the connection, or resets it.
func startCutEndpoint(t *testing.T, second <-chan string, reset bool) string {
	t.Helper()
	lis := listen(t)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close() //nolint:errcheck // the test is over
				in := bufio.NewReader(c)
				for _, response := range []func() string{func() string { return wholeResponse }, func() string { return <-second }} {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = io.WriteString(c, response())
				}
				if reset {
					time.Sleep(2 * time.Millisecond) // what was written is read before the reset drops it
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// Guards against a head that ends within and counts as whole, on a connection that has carried an answer before, directly and by way of
// another node.
func TestHeadThatEndsWithinIsNoResponse(t *testing.T) {
	node, _ := serve(t, dialTCP, true)
	relayed := func(ctx context.Context, address string) (net.Conn, error) {
		return tunnel.Dial(ctx, dialTCP, node, address)
	}
	for path, dial := range map[string]func(context.Context, string) (net.Conn, error){"direct": dialTCP, "by way of another node": relayed} {
		for _, reset := range []bool{false, true} {
			second := make(chan string, 1)
			address := startCutEndpoint(t, second, reset)
			for cut := range len(cutHead) {
				for _, prefix := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
					c := httpcall.NewClient()
					c.DialEndpoint = dial
					second <- prefix + cutHead[:cut]
					var request fasthttp.Request
					request.SetRequestURI("http://" + address + "/")
					for i, want := range []string{"whole", ""} {
						a, err := c.Do(context.Background(), address, &request, httpcall.Options{Timeout: waitLimit, Endpoint: true, Stream: i == 1 && cut%2 == 1})
						comment := qt.Commentf("%s, reset: %t, %d bytes after %q, answer %d", path, reset, cut, prefix, i)
						if want == "" {
							qt.Check(t, err, qt.IsNotNil, comment)
							continue
						}
						qt.Assert(t, err, qt.IsNil, comment)
						qt.Check(t, string(a.Response.Body()), qt.Equals, want, comment)
						qt.Check(t, a.Close(), qt.IsNil)
					}
				}
			}
		}
	}
}
