package reach

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/tunnel"
)

const dialLimit = time.Second

// site is this node, with a path of its own to endpoints, and other nodes that connect it.
type site struct {
	t      *testing.T
	dialer *Dialer
	peers  []string

	mu     sync.Mutex
	refuse map[string]bool // endpoints that this node's path refuses
	hang   bool            // this node's path is silent
	broken []string
	usable bool
}

func newSite(t *testing.T) *site {
	s := &site{t: t, refuse: make(map[string]bool), usable: true}
	m := &Monitor{Dial: s.dial, OnChange: func(bool) {}, Sample: func(string, int) []string { return nil }}
	s.dialer = &Dialer{
		Monitor: m, DialPeer: dialTCP, Peers: func(n int) []string { return s.peers[:min(n, len(s.peers))] }, Usable: func(string) bool { return s.usable },
		OnDetour: func() {}, OnDetourEnd: func(string, string, tunnel.End, error) {}, OnBroken: func(address string) { s.broken = append(s.broken, address) },
	}
	return s
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (s *site) dial(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	refuse, hang := s.refuse[address], s.hang
	s.mu.Unlock()
	switch {
	case hang:
		<-ctx.Done()
		return nil, ctx.Err()
	case refuse:
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	return dialTCP(ctx, address)
}

func (s *site) setPath(address string, refuse, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse[address], s.hang = refuse, hang
}

// addPeer adds a node that reaches endpoints, or that is refused by all of them.
func (s *site) addPeer(reaches, reachesOthers bool) {
	lis := s.listen()
	tunnels, _, run := tunnel.Split(lis, func(net.Addr, error) {})
	dial := dialTCP
	if !reaches {
		dial = func(context.Context, string) (net.Conn, error) {
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		}
	}
	server := &tunnel.Server{Dial: dial, ReachesOthers: func(context.Context, string) bool { return reachesOthers }, OnTunnel: func() {}, OnEnd: func(tunnel.End) {}, OnRejected: func(net.Addr, error) {}}
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go func() { _ = run(ctx) }()
	go func() { _ = server.Serve(ctx, tunnels) }()
	s.peers = append(s.peers, lis.Addr().String())
}

func (s *site) listen() net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// endpoint starts an endpoint that accepts connections and returns its address.
func (s *site) endpoint() string {
	lis := s.listen()
	go func() {
		for {
			if _, err := lis.Accept(); err != nil {
				return
			}
		}
	}()
	return lis.Addr().String()
}

func (s *site) connect(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	c, err := s.dialer.Dial(ctx, address)
	if err == nil {
		s.t.Cleanup(func() { _ = c.Close() })
	}
	return c, err
}

// Guards against refusing a request for which another node has a path, whatever the loss of the own path looks like.
func TestBrokenPathIsReplacedByAnotherNode(t *testing.T) {
	for _, silent := range []bool{false, true} {
		s := newSite(t)
		s.addPeer(true, true)
		address := s.endpoint()
		s.setPath(address, !silent, silent)
		c, err := s.connect(address)
		qt.Assert(t, err, qt.IsNil)
		_, detoured := c.(*detourConn)
		qt.Check(t, detoured, qt.IsTrue)
		qt.Check(t, s.broken, qt.DeepEquals, []string{address})
		qt.Check(t, s.dialer.Detours(), qt.Equals, 1)
	}
}

// Guards against sending requests through other nodes for good, and through one that is stopping.
func TestRequestsReturnToTheDirectPath(t *testing.T) {
	s := newSite(t)
	s.addPeer(true, true)
	address := s.endpoint()
	s.setPath(address, true, false)
	c, err := s.connect(address)
	qt.Assert(t, err, qt.IsNil)
	through := c.(*detourConn)
	qt.Check(t, through.Reusable(), qt.IsTrue)
	s.usable = false
	qt.Check(t, through.Reusable(), qt.IsFalse, qt.Commentf("the other node is stopping"))
	s.usable = true
	s.setPath(address, false, false)
	s.dialer.retryDirect(address)
	qt.Check(t, through.Reusable(), qt.IsFalse)
	c, err = s.connect(address)
	qt.Assert(t, err, qt.IsNil)
	_, detoured := c.(*detourConn)
	qt.Check(t, detoured, qt.IsFalse)
}

// Guards against taking an endpoint for ended on the word of one node, whose path may be broken.
func TestRefusalNeedsAnotherNodeThatReachesEndpoints(t *testing.T) {
	for _, test := range []struct {
		name          string
		peers         int
		reachesOthers bool
		confirmed     bool
	}{
		{"alone", 0, true, true}, {"refused by both", 1, true, true}, {"the other node reaches no endpoint", 1, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t)
			for range test.peers {
				s.addPeer(false, test.reachesOthers)
			}
			address := s.endpoint()
			s.setPath(address, true, false)
			_, err := s.connect(address)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.confirmed, qt.Commentf("%v", err))
		})
	}
}
