package httpcall_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
)

// lostConn is a connection whose peer has vanished after a part of an answer. As the kernel does, it returns the error once, and
// io.EOF from then on.
type lostConn struct {
	net.Conn
	in       *strings.Reader
	returned bool
}

func (c *lostConn) Read(p []byte) (int, error) {
	if c.in.Len() > 0 {
		return c.in.Read(p)
	}
	if c.returned {
		return 0, io.EOF
	}
	c.returned = true
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

func (*lostConn) Write(p []byte) (int, error)      { return len(p), nil }
func (*lostConn) Close() error                     { return nil }
func (*lostConn) SetDeadline(time.Time) error      { return nil }
func (*lostConn) SetReadDeadline(time.Time) error  { return nil }
func (*lostConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a part of an answer without a length that looks complete, because the kernel's word that the peer has vanished
// (ETIMEDOUT) counts as a wait that may go on, and the next read finds the end of the connection.
func TestAnswerOfAPeerThatHasVanishedIsNotComplete(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n"
	client := httpcall.NewClient()
	client.DialEndpoint = func(context.Context, string) (net.Conn, error) { return &lostConn{in: strings.NewReader(part)}, nil }
	var request fasthttp.Request
	request.SetRequestURI("http://x/")
	a, err := client.Do(context.Background(), "x", &request, httpcall.Options{Timeout: waitLimit, Endpoint: true, Stream: true})
	qt.Assert(t, err, qt.IsNil)
	defer a.Close() //nolint:errcheck // the test ends
	for {
		if err := a.Await(); httpcall.IsTimeout(err) {
			continue // nothing has come yet
		} else if err != nil {
			return
		}
		_, err := a.Read(make([]byte, 64))
		qt.Assert(t, errors.Is(err, io.EOF), qt.IsFalse, qt.Commentf("the part looks complete"))
	}
}

func TestIsTimeout(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close() //nolint:errcheck // the test ends
	_ = near.SetReadDeadline(time.Unix(1, 0))
	_, deadline := near.Read(make([]byte, 1))
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	var d net.Dialer
	_, dial := d.DialContext(ctx, "tcp", "127.0.0.1:1")
	for _, test := range []struct {
		name string
		err  error
		want bool
	}{
		{"read deadline", deadline, true},
		{"dial", dial, true},
		{"context", context.DeadlineExceeded, true},
		{"vanished peer", &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, false},
		{"reset", &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, false},
		{"end", io.EOF, false},
		{"none", nil, false},
	} {
		qt.Check(t, httpcall.IsTimeout(test.err), qt.Equals, test.want, qt.Commentf("%s: %v", test.name, test.err))
	}
}
