package lease_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/lease"
	_ "moorrun.dev/moorrun/internal/rapidseed"
)

const (
	ttl    = 3 * time.Second
	margin = 300 * time.Millisecond
)

// write is a conditional write on its way to the store.
type write struct {
	node      int
	record    lease.Record
	ifVersion int64
}

// fleet is a store with one lease object, and nodes whose writes are delayed, lost or answered late.
type fleet struct {
	now     time.Time
	version int64
	record  lease.Record
	nodes   []*lease.Lease
	wire    []write
	ops     int
	epochs  map[int64]int // epoch → node that held it
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), epochs: make(map[int64]int)}
	for i := range n {
		f.nodes = append(f.nodes, lease.New(fmt.Sprint("n", i), ttl, margin))
	}
	return f
}

func (f *fleet) step(node int, deliver, answer, want bool) {
	l := f.nodes[node]
	f.ops++
	op := fmt.Sprint("op", f.ops)
	action, record, ifVersion := l.Next(f.now, want, op)
	switch action {
	case lease.Read:
		if answer {
			l.Observed(f.version, f.record, f.now)
		}
	case lease.Write:
		l.Sending(record, f.now)
		w := write{node, record, ifVersion}
		if !deliver {
			f.wire = append(f.wire, w)
			return
		}
		applied := f.apply(w)
		if !answer {
			return
		}
		if applied {
			l.Applied(f.version, record, f.now)
		} else {
			l.Refused(op)
		}
	case lease.Wait:
	}
}

func (f *fleet) apply(w write) bool {
	if w.ifVersion != f.version {
		return false
	}
	f.version++
	f.record = w.record
	return true
}

func (f *fleet) check(t interface{ Fatalf(string, ...any) }) {
	holder := -1
	for i, l := range f.nodes {
		epoch, _, ok := l.Held(f.now)
		if !ok {
			continue
		}
		if holder >= 0 {
			t.Fatalf("nodes %d and %d both hold the lease", holder, i)
		}
		holder = i
		if other, seen := f.epochs[epoch]; seen && other != i {
			t.Fatalf("epoch %d was held by node %d and by node %d", epoch, other, i)
		}
		f.epochs[epoch] = i
	}
}

// tell lets a holder tell the other nodes of its lease.
func (f *fleet) tell(node int) {
	if _, _, ok := f.nodes[node].Held(f.now); !ok {
		return
	}
	version, record := f.nodes[node].Latest()
	for i, l := range f.nodes {
		if i != node {
			l.Told(version, record, f.now)
		}
	}
}

func TestOneHolderWhateverIsLostOrLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if len(f.wire) > 0 && rapid.Bool().Draw(t, "late") {
				f.apply(f.wire[0])
				f.wire = f.wire[1:]
			}
			node := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node") // a node not drawn is paused
			fate := rapid.IntRange(0, 9).Draw(t, "fate")
			want := rapid.IntRange(0, 4).Draw(t, "want") > 0
			f.step(node, fate != 0, fate > 1, want)
			f.check(t)
			if rapid.Bool().Draw(t, "tell") {
				f.tell(node)
				f.check(t)
			}
		}
	})
}

func TestLostAnswerIsFoundByOperation(t *testing.T) {
	f := newFleet(1)
	f.step(0, true, true, true)  // read
	f.step(0, true, false, true) // written, answer lost
	_, _, held := f.nodes[0].Held(f.now)
	qt.Assert(t, held, qt.IsFalse)
	f.step(0, true, true, true) // read back
	epoch, until, held := f.nodes[0].Held(f.now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, epoch, qt.Equals, int64(1))
	qt.Assert(t, until, qt.Equals, f.now.Add(ttl))
}

func TestSuccessorThatWasToldWaitsFromTheLastRenewal(t *testing.T) {
	f := newFleet(2)
	f.step(0, true, true, true) // read
	f.step(0, true, true, true) // written
	f.tell(0)
	f.now = f.now.Add(ttl + margin + time.Millisecond)
	f.step(1, true, true, true) // the very first step writes
	epoch, _, held := f.nodes[1].Held(f.now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, epoch, qt.Equals, int64(2))
}

func TestSuccessorThatWasToldOfAnEarlierVersionIsRefused(t *testing.T) {
	f := newFleet(2)
	f.step(0, true, true, true) // read
	f.step(0, true, true, true) // written
	f.tell(0)
	f.now = f.now.Add(ttl - time.Millisecond)
	f.step(0, true, true, true) // renewed, and nobody told
	f.now = f.now.Add(margin + 2*time.Millisecond)
	f.step(1, true, true, true)
	_, _, held := f.nodes[1].Held(f.now)
	qt.Check(t, held, qt.IsFalse)
	_, _, held = f.nodes[0].Held(f.now)
	qt.Check(t, held, qt.IsTrue)
}

func TestPausedHolderKnowsItHasLapsed(t *testing.T) {
	f := newFleet(2)
	f.step(0, true, true, true)
	f.step(0, true, true, true)
	f.now = f.now.Add(ttl)
	_, _, held := f.nodes[0].Held(f.now)
	qt.Assert(t, held, qt.IsFalse)
	f.step(1, true, true, true) // first sight
	f.step(1, true, true, true)
	_, _, held = f.nodes[1].Held(f.now)
	qt.Assert(t, held, qt.IsFalse, qt.Commentf("the other node has not yet waited the term out"))
	f.now = f.now.Add(ttl + margin + time.Millisecond)
	f.step(1, true, true, true)
	epoch, _, held := f.nodes[1].Held(f.now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, epoch, qt.Equals, int64(2))
}

func TestHeldElsewhereUntilItHasRunOutOrItsHolderSaysOtherwise(t *testing.T) {
	now := time.Unix(1000, 0)
	l := lease.New("n0", ttl, margin)
	qt.Check(t, l.HeldElsewhere(now), qt.IsFalse, qt.Commentf("nothing is known"))
	l.Observed(7, lease.Record{Holder: "n1", Epoch: 3, TTLMillis: ttl.Milliseconds()}, now)
	qt.Check(t, l.HeldElsewhere(now.Add(ttl+margin)), qt.IsTrue)
	qt.Check(t, l.HeldElsewhere(now.Add(ttl+margin+time.Millisecond)), qt.IsFalse, qt.Commentf("it has run out"))
	l.GivenUp("n2")
	qt.Check(t, l.HeldElsewhere(now), qt.IsTrue, qt.Commentf("that one did not hold it"))
	l.GivenUp("n1")
	qt.Check(t, l.HeldElsewhere(now), qt.IsFalse)
	l.Observed(8, lease.Record{Holder: "n1", Epoch: 3, TTLMillis: ttl.Milliseconds()}, now)
	qt.Check(t, l.HeldElsewhere(now), qt.IsTrue, qt.Commentf("it has been renewed since"))
	l.Observed(9, lease.Record{Epoch: 3}, now)
	qt.Check(t, l.HeldElsewhere(now), qt.IsFalse, qt.Commentf("it was released"))
}
