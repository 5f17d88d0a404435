package tunnel_test

import (
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/tunnel"
)

// eventBytes is the size of one event of a stream.
const eventBytes = 200

// BenchmarkStreamEvent measures an event that arrives from an endpoint: directly, through another node as nodes of earlier versions
// read it, and through another node in frames.
func BenchmarkStreamEvent(b *testing.B) {
	for _, path := range []struct {
		name string
		dial func(b *testing.B, relay, endpoint string) net.Conn
	}{
		{"direct", func(b *testing.B, _, endpoint string) net.Conn {
			c, err := dialTCP(context.Background(), endpoint)
			qt.Assert(b, err, qt.IsNil)
			return c
		}},
		{"raw", func(b *testing.B, relay, endpoint string) net.Conn { return openRaw(b, relay, endpoint) }},
		{"framed", func(b *testing.B, relay, endpoint string) net.Conn {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			c, err := tunnel.Dial(ctx, dialTCP, relay, endpoint)
			qt.Assert(b, err, qt.IsNil)
			return c
		}},
	} {
		b.Run(path.name, func(b *testing.B) {
			turns := make(chan struct{})
			endpoint := endpointThat(b, func(c *net.TCPConn) {
				event := make([]byte, eventBytes)
				for range turns {
					_, _ = c.Write(event)
				}
				_ = c.Close()
			})
			relay, _ := serve(b, dialTCP, true)
			c := path.dial(b, relay, endpoint)
			defer c.Close() //nolint:errcheck // the benchmark ends
			event := make([]byte, eventBytes)
			b.ReportAllocs()
			for b.Loop() {
				turns <- struct{}{}
				if _, err := io.ReadFull(c, event); err != nil {
					b.Fatal(err)
				}
			}
			close(turns)
		})
	}
}
