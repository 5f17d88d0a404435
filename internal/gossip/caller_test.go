package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/standin/silence"
)

func TestCallAfterOneThatWasNotAnsweredGetsANewConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	silent := silence.New(lis)
	m := mirror.New()
	m.Put(infra.Object{Key: "a", Version: 1, Value: []byte("1")})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = NewServer("1", m, nil).Serve(ctx, silent) }()
	caller := NewCaller(DialTCP)
	t.Cleanup(func() { _ = caller.Close() })
	pull := func(within time.Duration) error {
		callCtx, end := context.WithTimeout(ctx, within)
		defer end()
		_, _, err := caller.Pull(callCtx, lis.Addr().String(), "1", 0, false)
		return err
	}
	qt.Assert(t, pull(10*time.Second), qt.IsNil)
	qt.Assert(t, silent.Silence() > 0, qt.IsTrue)
	qt.Check(t, pull(300*time.Millisecond), qt.IsNotNil)
	qt.Check(t, pull(10*time.Second), qt.IsNil)
}
