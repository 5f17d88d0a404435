package silence_test

import (
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/silence"
)

// Guards against a silent connection that ignores its read deadline: net/http.Server aborts a pending background read by
// setting a deadline in the past, and then waits until the read has returned.
func TestSilentConnectionKeepsItsReadersDeadline(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := silence.New(lis)
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = accepted.Close() })
	qt.Assert(t, listener.Silence(), qt.Equals, 1)
	_, err = dialed.Write([]byte("swallowed"))
	qt.Assert(t, err, qt.IsNil)

	read := make(chan error, 1)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		read <- err
	}()
	qt.Assert(t, accepted.SetReadDeadline(time.Unix(1, 0)), qt.IsNil)
	select {
	case err := <-read:
		qt.Check(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
	case <-time.After(10 * time.Second):
		t.Fatal("Read did not return after its deadline had passed")
	}
}
