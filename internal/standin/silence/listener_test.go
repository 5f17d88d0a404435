package silence_test

import (
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/silence"
)

// TestSilentConnectionKeepsItsReadersDeadline: the server of the standard library ends a read that waits in the background by
// a deadline in the past, and waits until it has ended.
func TestSilentConnectionKeepsItsReadersDeadline(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	quiet := silence.New(lis)
	t.Cleanup(func() { _ = quiet.Close() })
	dialed, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := quiet.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = accepted.Close() })
	qt.Assert(t, quiet.Silence(), qt.Equals, 1)
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
		t.Fatal("the reader waits on")
	}
}
