package tunnel

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxTunnels bounds the tunnels through one node. Each takes two descriptors and some 40 KB of memory.
	maxTunnels = 512
	// requestTimeout bounds the wait for the request, and maxDialTimeout the time to connect to the endpoint.
	requestTimeout = time.Second
	maxDialTimeout = time.Second
	// retryAccept is the pause after a failed accept.
	retryAccept = 50 * time.Millisecond
)

// keepAlive makes the tunnels of a node that has vanished end within six seconds, so that endpoints do not keep working for it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// Server connects other nodes to endpoints.
type Server struct {
	// Dial connects to an endpoint without the help of other nodes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ReachesOthers reports whether this node can connect to endpoints other than the one at the given address.
	ReachesOthers func(ctx context.Context, address string) bool
	// Leaving reports whether this node is about to end, along with its tunnels: no new ones are opened. Nil is never.
	Leaving func() bool
	// OnTunnel is called for each tunnel that has been opened; it must not block.
	OnTunnel func()
	// OnEnd is called when a tunnel has ended; it must not block.
	OnEnd func(End)
	// OnRejected is called for a connection that asks for no valid tunnel and is closed; it must not block.
	OnRejected func(remote net.Addr, err error)

	running sync.WaitGroup
	open    atomic.Int64
}

// Open returns the number of tunnels through this node.
func (s *Server) Open() int { return int(s.open.Load()) }

// Serve accepts tunnels on lis until ctx ends. lis delivers connections from which Prefix has been read. The tunnels go on until
// Wait has returned.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	for {
		c, err := lis.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(retryAccept)
			continue
		}
		s.running.Go(func() { s.serve(c) })
	}
}

// Wait waits until all tunnels have ended or ctx has.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.running.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // the tunnel is over
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	in := bufio.NewReaderSize(c, maxMessage)
	var r request
	if err := readMessage(in, &r); err != nil {
		s.OnRejected(c.RemoteAddr(), err)
		return
	}
	if s.Leaving != nil && s.Leaving() {
		_ = writeMessage(c, reply{Result: failed})
		return
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > maxTunnels {
		_ = writeMessage(c, reply{Result: failed})
		return
	}
	endpoint, outcome := s.connect(r)
	if endpoint != nil {
		defer endpoint.Close() //nolint:errcheck // the tunnel is over
	}
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	framing := chooseFraming(r.Framings)
	if err := writeMessage(c, reply{outcome, framing}); err != nil || endpoint == nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	s.OnTunnel()
	s.OnEnd(splice(in, newSender(c, framing), endpoint))
}

// chooseFraming returns the framing to use with a node that can read the given ones; empty for none.
func chooseFraming(readable []string) string {
	if slices.Contains(readable, framingLength) {
		return framingLength
	}
	return ""
}

func (s *Server) connect(r request) (net.Conn, result) {
	ctx, cancel := context.WithTimeout(context.Background(), min(r.Timeout, maxDialTimeout))
	defer cancel()
	endpoint, err := s.Dial(ctx, r.Address)
	switch {
	case err == nil:
		return endpoint, connected
	case errors.Is(err, syscall.ECONNREFUSED) && s.ReachesOthers(ctx, r.Address):
		return nil, refused
	default:
		return nil, failed
	}
}
