package netconn_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/netconn"
)

// failingListener fails with the given errors, and then returns the connection.
type failingListener struct {
	net.Listener
	errs []error
	conn net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a listener that ends for good because the process had no descriptor left for one connection.
func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close() //nolint:errcheck // the test ends
	var seen []error
	l := &netconn.RetryListener{
		Listener: &failingListener{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED}, conn: near},
		OnError:  func(err error) { seen = append(seen, err) },
	}
	c, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, c, qt.Equals, near)
	qt.Check(t, seen, qt.HasLen, 4)
}

// Guards against trying a listener for ever that is closed.
func TestAcceptEndsAtALastingError(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_ = lis.Close()
	l := &netconn.RetryListener{Listener: lis, OnError: func(err error) { t.Errorf("retried after %v", err) }}
	_, err = l.Accept()
	qt.Check(t, errors.Is(err, net.ErrClosed), qt.IsTrue)
}
