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

// write is a conditional write that has not reached the store yet.
type write struct {
	node      int
	record    lease.Record
	ifVersion int64
}

// fleet simulates a store with one lease object, and nodes whose writes are delayed or whose answers are lost.
type fleet struct {
	now     time.Time
	version int64
	record  lease.Record
	nodes   []*lease.Lease
	delayed []write
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

func (f *fleet) step(node int, deliver, answer, shouldHold bool) {
	l := f.nodes[node]
	f.ops++
	op := fmt.Sprint("op", f.ops)
	action, record, ifVersion := l.Next(f.now, shouldHold, op)
	switch action {
	case lease.Read:
		if answer {
			l.Observed(f.version, f.record, f.now)
		}
	case lease.Write:
		l.Sending(record, f.now)
		w := write{node, record, ifVersion}
		if !deliver {
			f.delayed = append(f.delayed, w)
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

// reportToOthers reports the lease to all other nodes if node holds it.
func (f *fleet) reportToOthers(node int) {
	if _, _, ok := f.nodes[node].Held(f.now); !ok {
		return
	}
	version, record := f.nodes[node].Latest()
	for i, l := range f.nodes {
		if i != node {
			l.Reported(version, record, f.now)
		}
	}
}

func TestOneHolderWhateverIsLostOrLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if len(f.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				f.apply(f.delayed[0])
				f.delayed = f.delayed[1:]
			}
			node := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node") // a node not drawn is paused
			delivery := rapid.IntRange(0, 9).Draw(t, "fate")
			shouldHold := rapid.IntRange(0, 4).Draw(t, "want") > 0
			f.step(node, delivery != 0, delivery > 1, shouldHold)
			f.check(t)
			if rapid.Bool().Draw(t, "tell") {
				f.reportToOthers(node)
				f.check(t)
			}
		}
	})
}

func TestWriteWithLostAnswerIsRecognisedByOperation(t *testing.T) {
	f := newFleet(1)
	f.step(0, true, true, true)  // read
	f.step(0, true, false, true) // the write is applied, its answer is lost
	_, _, held := f.nodes[0].Held(f.now)
	qt.Assert(t, held, qt.IsFalse)
	f.step(0, true, true, true) // the read shows the write
	epoch, until, held := f.nodes[0].Held(f.now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, epoch, qt.Equals, int64(1))
	qt.Assert(t, until, qt.Equals, f.now.Add(ttl))
}

func TestSuccessorThatWasToldWaitsFromTheLastRenewal(t *testing.T) {
	f := newFleet(2)
	f.step(0, true, true, true) // read
	f.step(0, true, true, true) // written
	f.reportToOthers(0)
	f.now = f.now.Add(ttl + margin + time.Millisecond)
	f.step(1, true, true, true) // the first step writes, without a read
	epoch, _, held := f.nodes[1].Held(f.now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, epoch, qt.Equals, int64(2))
}

func TestWriteConditionalOnOutdatedReportIsRefused(t *testing.T) {
	f := newFleet(2)
	f.step(0, true, true, true) // read
	f.step(0, true, true, true) // written
	f.reportToOthers(0)
	f.now = f.now.Add(ttl - time.Millisecond)
	f.step(0, true, true, true) // renewal that is not reported
	f.now = f.now.Add(margin + 2*time.Millisecond)
	f.step(1, true, true, true)
	_, _, held := f.nodes[1].Held(f.now)
	qt.Check(t, held, qt.IsFalse)
	_, _, held = f.nodes[0].Held(f.now)
	qt.Check(t, held, qt.IsTrue)
}

func TestPausedHolderDetectsExpiry(t *testing.T) {
	f := newFleet(2)
	f.step(0, true, true, true)
	f.step(0, true, true, true)
	f.now = f.now.Add(ttl)
	_, _, held := f.nodes[0].Held(f.now)
	qt.Assert(t, held, qt.IsFalse)
	f.step(1, true, true, true) // first read of the object
	f.step(1, true, true, true)
	_, _, held = f.nodes[1].Held(f.now)
	qt.Assert(t, held, qt.IsFalse, qt.Commentf("the time to live has not passed since the other node's first read"))
	f.now = f.now.Add(ttl + margin + time.Millisecond)
	f.step(1, true, true, true)
	epoch, _, held := f.nodes[1].Held(f.now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, epoch, qt.Equals, int64(2))
}

func TestHeldElsewhereUntilExpiryDisclaimerOrRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	l := lease.New("n0", ttl, margin)
	qt.Check(t, l.HeldElsewhere(now), qt.IsFalse, qt.Commentf("before the first read"))
	l.Observed(7, lease.Record{Holder: "n1", Epoch: 3, TTLMillis: ttl.Milliseconds()}, now)
	qt.Check(t, l.HeldElsewhere(now.Add(ttl+margin)), qt.IsTrue)
	qt.Check(t, l.HeldElsewhere(now.Add(ttl+margin+time.Millisecond)), qt.IsFalse, qt.Commentf("after expiry"))
	l.Disclaimed("n2")
	qt.Check(t, l.HeldElsewhere(now), qt.IsTrue, qt.Commentf("a disclaimer of a node that is not the holder has no effect"))
	l.Disclaimed("n1")
	qt.Check(t, l.HeldElsewhere(now), qt.IsFalse)
	l.Observed(8, lease.Record{Holder: "n1", Epoch: 3, TTLMillis: ttl.Milliseconds()}, now)
	qt.Check(t, l.HeldElsewhere(now), qt.IsTrue, qt.Commentf("renewed after the disclaimer"))
	l.Observed(9, lease.Record{Epoch: 3}, now)
	qt.Check(t, l.HeldElsewhere(now), qt.IsFalse, qt.Commentf("after a release"))
}

// Guards against two tenures with the same epoch, whose groups would have the same names: the store came back from a copy that lacks
// the last epochs.
func TestEpochsThatTheStoreHasLostAreNotGivenOutAgain(t *testing.T) {
	const ttl, margin = 1500 * time.Millisecond, 150 * time.Millisecond
	now := time.Unix(1000, 0)
	l := lease.New("self", ttl, margin)
	l.Observed(9, lease.Record{Holder: "other", Epoch: 7, TTLMillis: ttl.Milliseconds()}, now)
	l.Observed(0, lease.Record{}, now)
	_, record, _ := l.Next(now, true, "op")
	qt.Check(t, record.Epoch, qt.Equals, int64(8), qt.Commentf("this process has seen epoch 7"))
	l = lease.New("self", ttl, margin)
	l.Observed(0, lease.Record{}, now)
	l.RaiseEpochs(100)
	_, record, _ = l.Next(now, true, "op")
	qt.Check(t, record.Epoch, qt.Equals, int64(101))
}
