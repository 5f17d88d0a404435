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

// waitLimit bounds waits that are long only if the code under test is faulty.
const waitLimit = 10 * time.Second

// Guards against an endpoint that keeps working until the route's timeout after its caller has disconnected. The end of the
// call's context sets the connection's deadline to the past; a wait that began at that moment overwrote it with a later one.
func TestAwaitEndsIfTheCallIsAlreadyCancelled(t *testing.T) {
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
		time.Sleep(2 * waitLimit)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	var request fasthttp.Request
	request.SetRequestURI("http://x/")
	a, err := httpcall.NewClient().Start(ctx, lis.Addr().String(), &request, httpcall.Options{Timeout: waitLimit})
	qt.Assert(t, err, qt.IsNil)
	defer a.Close() //nolint:errcheck // the test ends
	cancel()
	time.Sleep(50 * time.Millisecond) // time for the deadline to be set to the past
	qt.Assert(t, a.SetReadTimeout(time.Hour), qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- a.Await() }()
	select {
	case err := <-ended:
		qt.Check(t, httpcall.IsTimeout(err) && a.Cancelled(), qt.IsTrue)
	case <-time.After(waitLimit):
		t.Error("Await did not return after cancellation")
	}
}
