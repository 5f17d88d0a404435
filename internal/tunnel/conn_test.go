package tunnel_test

import (
	"bufio"
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

	"moorrun.dev/moorrun/internal/tunnel"
)

// framedReply accepts a tunnel whose answer consists of frames.
const framedReply = `{"result":"connected","framing":"length"}` + "\n"

// nodeThat starts a node that reads the opening of one tunnel and then runs answer.
func nodeThat(t *testing.T, answer func(c *net.TCPConn)) string {
	t.Helper()
	return endpointThat(t, func(c *net.TCPConn) {
		defer c.Close() //nolint:errcheck // the tunnel is over
		if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			answer(c)
		}
	})
}

// openTo opens a tunnel through a node that sends the given bytes and then closes its connection.
func openTo(t *testing.T, sent string) *tunnel.Conn {
	t.Helper()
	c, err := open(t, nodeThat(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, sent) }), "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestEndOfATunnel(t *testing.T) {
	for _, test := range []struct {
		name, sent, want string
		end              tunnel.End
		err              error
	}{
		{"endpoint closed", framedReply + "D\x00\x03abcD\x00\x01dC\x00\x00", "abcd", tunnel.EndpointClosed, nil},
		{"endpoint closed without an answer", framedReply + "C\x00\x00", "", tunnel.EndpointClosed, nil},
		{"endpoint broke", framedReply + "D\x00\x03abcB\x00\x00", "abc", tunnel.EndpointBroke, syscall.ECONNRESET},
		{"no end", framedReply + "D\x00\x03abc", "abc", tunnel.TunnelBroke, tunnel.ErrBroken},
		{"torn header", framedReply + "D\x00\x03abcC\x00", "abc", tunnel.TunnelBroke, tunnel.ErrBroken},
		{"torn payload", framedReply + "D\x00\x03ab", "ab", tunnel.TunnelBroke, tunnel.ErrBroken},
		{"unknown kind", framedReply + "X\x00\x01a", "", tunnel.TunnelBroke, tunnel.ErrBroken},
		{"payload too long", framedReply + "D\xff\xff" + strings.Repeat("a", 1<<16), "", tunnel.TunnelBroke, tunnel.ErrBroken},
		{"empty payload", framedReply + "D\x00\x00", "", tunnel.TunnelBroke, tunnel.ErrBroken},
		{"end with a payload", framedReply + "C\x00\x01a", "", tunnel.TunnelBroke, tunnel.ErrBroken},
		{"node of an earlier version that is gone", `{"result":"connected"}` + "\nabc", "abc", tunnel.TunnelBroke, tunnel.ErrBroken},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := openTo(t, test.sent)
			var ends []tunnel.End
			c.OnEnd = func(e tunnel.End, _ error) { ends = append(ends, e) }
			got, err := io.ReadAll(c)
			qt.Check(t, string(got), qt.Equals, test.want)
			qt.Check(t, errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			_, again := c.Read(make([]byte, 1))
			qt.Check(t, again, qt.IsNotNil)
			qt.Check(t, errors.Is(again, io.EOF), qt.Equals, err == nil)
			qt.Check(t, ends, qt.DeepEquals, []tunnel.End{test.end})
		})
	}
}

// Guards against a stream that breaks because a wait for its next bytes timed out within a frame.
func TestReadGoesOnAfterATimeoutWithinAFrame(t *testing.T) {
	const sent = "D\x00\x03abcD\x00\x01dC\x00\x00"
	node := nodeThat(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, framedReply)
		for _, b := range []byte(sent) {
			time.Sleep(5 * time.Millisecond)
			_, _ = c.Write([]byte{b})
		}
	})
	c, err := open(t, node, "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test ends
	var got []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		var b [8]byte
		n, err := c.Read(b[:])
		got = append(got, b[:n]...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
	}
	qt.Check(t, string(got), qt.Equals, "abcd")
}

// Guards against sending a request on a kept connection whose end has arrived together with the answer before.
func TestConnWithUnreadFramesIsNotDrained(t *testing.T) {
	c := openTo(t, framedReply+"D\x00\x03abcC\x00\x00")
	b := make([]byte, 3)
	qt.Assert(t, c.Drained(), qt.Equals, false, qt.Commentf("the frames arrive with the reply"))
	_, err := io.ReadFull(c, b)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, c.Drained(), qt.IsFalse)
}

// Guards against an answer in a framing that this node cannot read.
func TestUnknownFramingIsRefused(t *testing.T) {
	node := nodeThat(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, `{"result":"connected","framing":"other"}`+"\n") })
	_, err := open(t, node, "127.0.0.1:1")
	qt.Check(t, err, qt.ErrorMatches, `.*unknown framing "other"`)
}

// FuzzConn checks that no bytes of another node but a frame that says so end an answer as complete.
func FuzzConn(f *testing.F) {
	f.Add([]byte("D\x00\x03abcC\x00\x00"))
	f.Add([]byte("D\x00\x03abc"))
	f.Add([]byte("abc"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		go func() {
			defer far.Close() //nolint:errcheck // the tunnel is over
			if _, err := bufio.NewReader(far).ReadString('\n'); err != nil {
				return
			}
			_, _ = far.Write(append([]byte(framedReply), sent...))
		}()
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		c, err := tunnel.Dial(ctx, func(context.Context, string) (net.Conn, error) { return near, nil }, "", "endpoint")
		qt.Assert(t, err, qt.IsNil)
		defer c.Close() //nolint:errcheck // the test ends
		got, err := io.ReadAll(c)
		qt.Assert(t, len(got) <= len(sent), qt.IsTrue)
		if err == nil {
			qt.Assert(t, strings.Contains(string(sent), "C\x00\x00"), qt.IsTrue)
		}
	})
}
