package gossip

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/engine"
)

// fleet is a set of nodes that run in this process and communicate over UDP on the loopback interface.
type fleet struct {
	nodes []*Node
	stop  []context.CancelFunc
	done  []chan struct{}
}

// newFleet starts nodes that each have one request at the same endpoint and know only the first node's address.
func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{}
	for i := range size {
		n := newTestNode(t, i, func(time.Time) Status {
			return Status{
				Serving: true, Loads: Loads{KeyOf("e"): 1}, Suspects: map[string]time.Time{},
				Demands: map[string]Demand{"m": {Running: 1}},
			}
		})
		n.self.DataCentre = fmt.Sprintf("z%d", i%3)
		if i > 0 {
			n.Add(f.nodes[0].Self().GossipAddress)
		}
		f.start(n)
	}
	t.Cleanup(func() {
		for i := range f.nodes {
			f.stopNode(i)
		}
	})
	return f
}

// newSettledFleet starts a fleet and waits until its nodes know each other and the number of relays is as expected.
func newSettledFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, size)
	f.awaitConverged(f.nodes)
	for len(f.relays()) != relayCount(size) {
		time.Sleep(5 * time.Millisecond)
	}
	return f
}

func (f *fleet) start(n *Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.nodes, f.stop, f.done = append(f.nodes, n), append(f.stop, cancel), append(f.done, done)
	go func() { defer close(done); _ = n.Run(ctx) }()
}

// stopNode stops a node, which sends its final beats but does not announce that it leaves.
func (f *fleet) stopNode(i int) {
	f.stop[i]()
	<-f.done[i]
}

// relays returns the indexes of the nodes that act as relays.
func (f *fleet) relays() []int {
	var out []int
	for i, n := range f.nodes {
		n.mu.Lock()
		if n.relaying {
			out = append(out, i)
		}
		n.mu.Unlock()
	}
	return out
}

// awaitConverged waits until each of the nodes knows all the others and counts each of their requests once.
func (f *fleet) awaitConverged(nodes []*Node) {
	for _, n := range nodes {
		for {
			now := time.Now()
			total := n.Others(now)
			if len(n.Live(now)) == len(nodes)-1 && total.Loads.At("e") == len(nodes)-1 && total.Demands["m"].Running == len(nodes)-1 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func TestLargeFleetIsHeardThroughRelays(t *testing.T) {
	const size = 30
	f := newSettledFleet(t, size)
	f.awaitConverged(f.nodes)
	for _, n := range f.nodes {
		qt.Check(t, n.KnownCount(time.Now()), qt.Equals, size-1)
	}
}

func TestFleetFindsOtherRelaysWhenSomeAreLost(t *testing.T) {
	const size, lost = 30, 4
	f := newFleet(t, size)
	f.awaitConverged(f.nodes)
	gone := make(map[int]bool)
	for _, i := range f.relays()[:lost] {
		gone[i] = true
		f.stopNode(i)
	}
	var left []*Node
	for i, n := range f.nodes {
		if !gone[i] {
			left = append(left, n)
		}
	}
	f.awaitConverged(left)
}

func TestBeatsListOtherNodesThanRelays(t *testing.T) {
	n := newTestNode(t, 0, func(time.Time) Status { return Status{} })
	now := time.Now()
	for i := range SmallFleet {
		address := fmt.Sprintf("127.0.0.1:%d", i+1)
		p := &Peer{Identity: Identity{VM: fmt.Sprint(i), GossipAddress: address}, Heard: now}
		n.add(address, now).peer = p
		if i < minRelays {
			n.relays = append(n.relays, p)
		}
	}
	n.liveListStale = true
	listed := make(map[string]bool)
	for range 1000 {
		for _, k := range n.sampleKnownNodes(now) {
			listed[k.Vm] = true
		}
	}
	qt.Check(t, listed, qt.HasLen, SmallFleet)
}

func TestRelaysGrowWithTheRootOfTheFleet(t *testing.T) {
	qt.Check(t, relayCount(9), qt.Equals, 9)
	qt.Check(t, relayCount(61), qt.Equals, minRelays)
	qt.Check(t, relayCount(780), qt.Equals, 17)
}

func TestLargestNodesAreRelaysAndLeavingOnesAreNot(t *testing.T) {
	var nodes []*Peer
	for i := range 40 {
		nodes = append(nodes, &Peer{Identity: Identity{VM: fmt.Sprint(i), Capacity: uint32(i % 5)}})
	}
	nodes[4].Leaving = true
	for _, p := range selectRelays(nodes, len(nodes)) {
		qt.Check(t, p.Capacity, qt.Equals, uint32(4))
		qt.Check(t, p.VM, qt.Not(qt.Equals), "4")
	}
}

func TestNodesPreferRelaysOfTheirDataCentre(t *testing.T) {
	relays := []*Peer{{Identity: Identity{VM: "far", DataCentre: "b"}}, {Identity: Identity{VM: "near", DataCentre: "a"}}}
	qt.Check(t, preferredRelays(Identity{VM: "x", DataCentre: "a"}, relays)[0].VM, qt.Equals, "near")
}

func TestTotalsWithoutOneNode(t *testing.T) {
	mix := func(perSecond float64) engine.Mix {
		return engine.Mix{PerSecond: perSecond, Tokens: 100 * perSecond, Squares: 20_000 * perSecond, Objective: 200 * time.Millisecond}
	}
	a := Status{Loads: Loads{KeyOf("e"): 2, KeyOf("f"): 1}, Demands: map[string]Demand{"m": {Waiting: 1, Running: 3, Mix: mix(2)}}, Retiring: []string{"g"}}
	b := Status{Loads: Loads{KeyOf("e"): 5}, Demands: map[string]Demand{"m": {Running: 5, Mix: mix(4)}}, Retiring: []string{"g"}}
	total := NewTotals()
	total.Add(&a)
	total.Add(&b)
	qt.Check(t, total.Loads, qt.DeepEquals, Loads{KeyOf("e"): 7, KeyOf("f"): 1})
	qt.Check(t, total.Retiring, qt.DeepEquals, []string{"g"})
	rest := total.without(&a)
	qt.Check(t, rest.Loads, qt.DeepEquals, Loads{KeyOf("e"): 5})
	qt.Check(t, rest.Demands, qt.DeepEquals, map[string]Demand{"m": {Running: 5, Mix: mix(4)}})
	qt.Check(t, total.Loads.At("e"), qt.Equals, 7)
}

func TestNodeThatKnowsOneWhichIsNoRelayFindsTheFleet(t *testing.T) {
	const size = 30
	f := newSettledFleet(t, size)
	relays := f.relays()
	known := 0
	for slices.Contains(relays, known) {
		known++
	}
	newcomer := newTestNode(t, size, f.nodes[0].status)
	newcomer.self.DataCentre = "z1"
	newcomer.Add(f.nodes[known].Self().GossipAddress)
	f.start(newcomer)
	f.awaitConverged(f.nodes)
}
