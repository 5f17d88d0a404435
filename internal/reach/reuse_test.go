package reach

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
)

// Guards against a tunnel for each request, and against reuse of a connection that the endpoint has closed.
func TestConnectionsThroughOtherNodesAreReused(t *testing.T) {
	s := newSite(t)
	s.addPeer(true, true)
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write([]byte("answer"))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	s.setPath(address, true, false)
	client := httpcall.NewClient()
	client.DialEndpoint = s.dialer.Dial
	call := func(path string) {
		t.Helper()
		var r fasthttp.Request
		r.SetRequestURI("http://" + address + path)
		a, err := client.Do(context.Background(), address, &r, httpcall.Options{Timeout: dialLimit, Endpoint: true})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(a.Response.Body()), qt.Equals, "answer")
		qt.Check(t, a.Close(), qt.IsNil)
	}
	for range 3 {
		call("/")
	}
	qt.Check(t, opened.Load(), qt.Equals, int64(1))
	call("/last")
	call("/")
	qt.Check(t, opened.Load(), qt.Equals, int64(2))
}
