package httpcall_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
)

// patience bounds waits that only a broken product makes long.
const patience = 10 * time.Second

// Seen: an endpoint worked on for as long as the route allows after its caller had left. The end of the call's context sets
// the connection's deadline to the past; a wait that began just then set it to the future again.
func TestWaitThatBeginsAfterTheCallWasCancelledEnds(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer lis.Close() //nolint:errcheck // the test ends
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()                //nolint:errcheck // the test ends
		_, _ = c.Read(make([]byte, 1)) // it never answers
		time.Sleep(2 * patience)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	var request fasthttp.Request
	request.SetRequestURI("http://x/")
	a, err := httpcall.NewClient().Start(ctx, lis.Addr().String(), &request, httpcall.Options{Timeout: patience})
	qt.Assert(t, err, qt.IsNil)
	defer a.Close() //nolint:errcheck // the test ends
	cancel()
	time.Sleep(50 * time.Millisecond) // the deadline is set to the past
	qt.Assert(t, a.SetReadTimeout(time.Hour), qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- a.Await() }()
	select {
	case err := <-ended:
		qt.Check(t, httpcall.IsTimeout(err) && a.Cancelled(), qt.IsTrue)
	case <-time.After(patience):
		t.Error("the wait goes on")
	}
}
