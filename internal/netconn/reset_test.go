package netconn_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/netconn"
)

func TestResetOnClose(t *testing.T) {
	for _, test := range []struct {
		name  string
		calls []bool
		want  error
	}{{"default", nil, nil}, {"on", []bool{true}, syscall.ECONNRESET}, {"on, then off", []bool{true, false}, nil}} {
		t.Run(test.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer lis.Close() //nolint:errcheck // the test ends
			near, err := net.Dial("tcp", lis.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer near.Close() //nolint:errcheck // the test ends
			far, err := lis.Accept()
			qt.Assert(t, err, qt.IsNil)
			for _, on := range test.calls {
				netconn.ResetOnClose(far, on)
			}
			_ = far.Close()
			_, err = io.ReadAll(near)
			qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestResetOnCloseIgnoresOtherConnections(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close() //nolint:errcheck // the test ends
	netconn.ResetOnClose(near, true)
	qt.Check(t, near.Close(), qt.IsNil)
}
