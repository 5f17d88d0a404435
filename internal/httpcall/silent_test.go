package httpcall_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/standin/silence"
)

func TestSilentConnectionClosesOthersToItsAddress(t *testing.T) {
	const connections = 5
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := silence.New(lis)
	var arrived sync.WaitGroup
	arrived.Add(connections)
	first := true
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if first { // all calls overlap, so that each needs a connection of its own
			arrived.Done()
			arrived.Wait()
		}
	}))
	server.Listener = listener
	server.Start()
	t.Cleanup(func() { listener.Silence(); server.Close() })
	address := lis.Addr().String()
	client := httpcall.NewClient()
	call := func(timeout time.Duration) error {
		var r fasthttp.Request
		r.Header.SetHost(address)
		r.Header.SetRequestURI("/")
		a, err := client.Do(context.Background(), address, &r, httpcall.Options{Timeout: timeout})
		if err != nil {
			return err
		}
		return a.Close()
	}
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { qt.Check(t, call(10*time.Second), qt.IsNil) })
	}
	calls.Wait()
	first = false
	qt.Assert(t, listener.Silence(), qt.Equals, connections)
	qt.Check(t, call(400*time.Millisecond), qt.IsNotNil)
	qt.Check(t, call(10*time.Second), qt.IsNil, qt.Commentf("a new connection works"))
}
