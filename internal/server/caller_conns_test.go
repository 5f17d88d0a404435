package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stop that waits until its end for a connection on which no request comes.
func TestConnectionWithoutARequestDoesNotHoldUpAStop(t *testing.T) {
	var conns callerConns
	s := httptest.NewUnstartedServer(http.NotFoundHandler())
	conns.watch(s.Config)
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the server closes it
	for _, unread := conns.count(); unread == 0; _, unread = conns.count() {
		time.Sleep(time.Millisecond)
	}
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	conns.awaitRead(short)
	qt.Check(t, short.Err(), qt.IsNotNil, qt.Commentf("a request may still come"))
	conns.closeUnread()
	qt.Check(t, conns.awaitEnd(t.Context()), qt.IsTrue)
	_, err = io.ReadAll(c)
	qt.Check(t, err, qt.IsNil)
}
