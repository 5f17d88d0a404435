package gossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/mirror"
)

func newTestNode(t *testing.T, i int, status func(time.Time) Status) *Node {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	address := conn.LocalAddr().String()
	return NewNode(Identity{VM: fmt.Sprintf("node-%d", i), Incarnation: fmt.Sprint(i), GossipAddress: address}, conn, status)
}

func TestNodesFindEachOtherThroughOne(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var nodes []*Node
	for i := range 4 {
		n := newTestNode(t, i, func(time.Time) Status { return Status{Serving: true, Loads: Loads{KeyOf("e"): i}} })
		if i > 0 {
			n.Add(nodes[0].Self().GossipAddress)
		}
		nodes = append(nodes, n)
		wg.Go(func() { _ = n.Run(ctx) })
	}
	for _, n := range nodes {
		for len(n.Live(time.Now())) < len(nodes)-1 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	p := nodes[3].Live(time.Now())[2]
	qt.Check(t, p.VM, qt.Equals, "node-2")
	qt.Check(t, p.Loads.At("e"), qt.Equals, 2)
	qt.Check(t, p.Heard.After(time.Now()), qt.IsFalse)
	cancel()
	wg.Wait()
}

// deliver passes a beat to n and returns the peer that n derives from it, or nil if n rejects the beat.
func deliver(n *Node, b *gossippb.Beat) *Peer { return n.handleBeat(b, time.Now()) }

func TestBeatCountsFromTheSendingThatItEchoes(t *testing.T) {
	n := newTestNode(t, 0, func(time.Time) Status { return Status{} })
	beat := &gossippb.Beat{Vm: "b", Incarnation: "1", GossipAddress: "127.0.0.1:9", Tick: 1}
	qt.Check(t, deliver(n, beat), qt.IsNil, qt.Commentf("a beat without an echo, whose age is unknown"))
	sent := time.Now()
	n.sendRound(sent, true)
	beat.Tick, beat.Echo, beat.ProofAgeMs = 2, 1, 30
	p := deliver(n, beat)
	qt.Assert(t, p, qt.IsNotNil)
	qt.Check(t, p.Heard.Equal(sent), qt.IsTrue)
	qt.Check(t, p.ProofAt.Equal(sent.Add(-30*time.Millisecond)), qt.IsTrue)
	qt.Check(t, deliver(n, beat), qt.IsNil, qt.Commentf("a duplicate of the last beat"))
	beat.Tick = 1
	qt.Check(t, deliver(n, beat), qt.IsNil, qt.Commentf("an older beat that arrives after a newer one"))
}

func TestLateBeatOfAnEarlierLifeIsIgnored(t *testing.T) {
	n := newTestNode(t, 0, func(time.Time) Status { return Status{} })
	n.Add("127.0.0.1:9")
	n.sendRound(time.Now(), true)
	time.Sleep(2 * time.Millisecond)
	n.sendRound(time.Now(), true)
	second := &gossippb.Beat{Vm: "b", Incarnation: "2", GossipAddress: "127.0.0.1:9", Tick: 1, Echo: 2}
	qt.Assert(t, deliver(n, second), qt.IsNotNil)
	first := &gossippb.Beat{Vm: "b", Incarnation: "1", GossipAddress: "127.0.0.1:9", Tick: 50, Echo: 1}
	qt.Check(t, deliver(n, first), qt.IsNil)
	qt.Check(t, n.Live(time.Now())[0].Incarnation, qt.Equals, "2")
}

func TestStatusSurvivesTheWire(t *testing.T) {
	now := time.Now()
	s := Status{
		Leaving: true, Serving: true, Watching: true, Eligible: true, Isolated: true, LeaderEpoch: 7, Lease: Lease{12, 1500 * time.Millisecond}, Uptime: 5 * time.Second, Sequence: 9,
		ProofAt: now.Add(-40 * time.Millisecond), Loads: Loads{KeyOf("a"): 3},
		Limits: RateLimits{KeyOf("a"): {Named: true, PerSecond: 1.9, AsOf: now.Add(-20 * time.Millisecond), Recent: 7, Withheld: 2}},
		Cold:   RateLimits{KeyOf("b"): {AsOf: now.Add(-10 * time.Millisecond), Recent: 5, Withheld: 1}}, Retiring: []string{"g"}, Lost: []string{"h"},
		Suspects: map[string]time.Time{"g": now.Add(-time.Second)}, Demands: map[string]Demand{"m": {Waiting: 1, Running: 2, Mix: engine.Mix{PerSecond: 0.5, Tokens: 2048, Squares: 1 << 22, Objective: 300 * time.Millisecond}}},
	}
	p := fromWire(toWire(Identity{VM: "v", DataCentre: "z"}, s, now), now)
	qt.Check(t, p.Status, qt.DeepEquals, s)
	qt.Check(t, p.DataCentre, qt.Equals, "z")
}

func TestPullReturnsWhatIsNewToTheOtherSide(t *testing.T) {
	m := mirror.New()
	m.Put(infra.Object{Key: "a", Version: 1, Value: []byte("1")})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := NewServer("x", m, func(_ context.Context, id, _ string) ProbeResult {
		return ProbeResult{Answered: id == "up", Isolated: id != "up"}
	})
	go func() { _ = s.Serve(ctx, lis) }()
	c := NewCaller(DialTCP)
	defer c.Close() //nolint:errcheck // the test is over
	address := lis.Addr().String()
	sequence, objects, err := c.Pull(ctx, address, "x", 0, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, objects, qt.HasLen, 1)
	m.Put(infra.Object{Key: "b", Version: 2, Deleted: true})
	_, objects, err = c.Pull(ctx, address, "x", sequence, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, objects, qt.DeepEquals, []infra.Object{{Key: "b", Version: 2, Deleted: true}})
	_, _, err = c.Pull(ctx, address, "another life", 0, false)
	qt.Check(t, err, qt.IsNotNil)
	found, err := c.Probe(ctx, address, "up", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, found, qt.Equals, ProbeResult{Answered: true})
	found, err = c.Probe(ctx, address, "down", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, found, qt.Equals, ProbeResult{Isolated: true})
}

func FuzzTake(f *testing.F) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the test is over
	f.Add("v", "i", "127.0.0.1:9", uint64(1), uint64(0))
	f.Add("v", "i", "not an address", uint64(1), uint64(1<<63))
	f.Fuzz(func(_ *testing.T, vm, incarnation, address string, tick, echo uint64) {
		n := NewNode(Identity{VM: "self", GossipAddress: "127.0.0.1:1"}, conn, func(time.Time) Status { return Status{} })
		for range 2 {
			n.handleBeat(&gossippb.Beat{Vm: vm, Incarnation: incarnation, GossipAddress: address, Tick: tick, Echo: echo}, time.Now())
			n.sampleKnownNodes(time.Now())
		}
	})
}
