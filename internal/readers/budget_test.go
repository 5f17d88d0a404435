package readers_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/readers"
)

// Guards against cutting callers that read, or a recent stall before an old one, and against cutting more than is needed.
func TestLongestStalledCallersAreCutUntilThereIsRoom(t *testing.T) {
	b := readers.NewBudget(100, 0)
	accounts := make([]readers.Account, 5)
	var cut []int
	for i := range accounts {
		qt.Assert(t, b.Open(&accounts[i], 20), qt.IsNil)
		if i > 0 { // the first caller reads
			accounts[i].Await(origin.Add(-time.Duration(i)*time.Second), func() { cut = append(cut, i) })
		}
	}
	var refused readers.Account
	qt.Check(t, b.Open(&refused, 30), qt.Equals, readers.ErrFull)
	qt.Check(t, cut, qt.DeepEquals, []int{4, 3}, qt.Commentf("two of 20 make room for 30"))
	qt.Check(t, b.Open(&refused, 30), qt.Equals, readers.ErrFull)
	qt.Check(t, cut, qt.HasLen, 2, qt.Commentf("the room that the callers already cut will make is enough"))
	accounts[4].Close()
	accounts[3].Close()
	qt.Check(t, b.Open(&refused, 30), qt.IsNil)
	qt.Check(t, b.Held(), qt.Equals, int64(90))
	qt.Check(t, accounts[0].Take(40), qt.IsNil, qt.Commentf("an answer is held beyond the budget"))
	qt.Check(t, cut, qt.DeepEquals, []int{4, 3, 2, 1})
}

// Guards against one request taking all of the budget.
func TestOneRequestHoldsAtMostItsPart(t *testing.T) {
	b := readers.NewBudget(100, 25)
	var a readers.Account
	qt.Assert(t, b.Open(&a, 10), qt.IsNil)
	qt.Check(t, a.Room(1000), qt.Equals, 15)
	qt.Check(t, a.Hold(16), qt.Equals, readers.ErrTooLarge)
	qt.Check(t, a.Take(16), qt.Equals, readers.ErrTooLarge)
	qt.Check(t, a.Take(15), qt.IsNil)
	qt.Check(t, a.Room(1000), qt.Equals, 0)
	a.Close()
	qt.Check(t, b.Held(), qt.Equals, int64(0))
}

// Guards against refusing requests, or limiting their size, where no memory is configured.
func TestBudgetWithoutLimitOnlyCounts(t *testing.T) {
	b := readers.NewBudget(0, 0)
	var a readers.Account
	qt.Assert(t, b.Open(&a, 1<<40), qt.IsNil)
	qt.Check(t, a.Room(7), qt.Equals, 7)
	qt.Check(t, b.Held(), qt.Equals, int64(1<<40))
}

// Guards against bytes that stay counted after their request has ended, and against admission beyond the budget, with any
// order of holds, cuts and ends by many requests at a time.
func TestNothingStaysHeld(t *testing.T) {
	const total = 1000
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 400), 1, 50).Draw(t, "sizes")
		b := readers.NewBudget(total, total/2)
		var all sync.WaitGroup
		for i, n := range sizes {
			all.Go(func() {
				var a readers.Account
				if b.Open(&a, n) != nil {
					return
				}
				defer a.Close()
				w := a.Await(origin.Add(time.Duration(i)), func() {})
				defer w.End()
				_ = a.Hold(n)
				_ = a.Take(n)
				w.Accepted(origin.Add(time.Hour))
				a.Release(n / 2)
			})
		}
		all.Wait()
		var a readers.Account
		if held := b.Held(); held != 0 || b.Open(&a, total/2) != nil {
			t.Fatalf("%d bytes stay held", held)
		}
		var other readers.Account
		if b.Open(&other, total/2) != nil {
			t.Fatal("a half has no room")
		}
		cuts := 0
		a.Await(origin, func() { cuts++ })
		other.Await(origin, func() { cuts++ })
		var refused readers.Account
		if b.Open(&refused, 1) == nil || cuts != 1 {
			t.Fatalf("%d callers were cut where one makes room", cuts)
		}
	})
}

func TestRefusedCallerComesBackWithinAThirdOfItsTime(t *testing.T) {
	s := readers.NewStall(stallTime)
	qt.Check(t, s.ComeBack(0), qt.Equals, s.Bound)
	qt.Check(t, s.ComeBack(time.Minute), qt.Equals, s.Bound)
	qt.Check(t, s.ComeBack(4*time.Second), qt.Equals, time.Second)
}

// Guards against a cost for each request that shows beside the system calls of passing it on.
func TestAccountingAllocatesNothing(t *testing.T) {
	b := readers.NewBudget(1<<30, 1<<20)
	var a readers.Account
	qt.Check(t, testing.AllocsPerRun(100, func() {
		_ = b.Open(&a, 1<<10)
		_ = a.Take(1 << 10)
		a.Close()
	}), qt.Equals, 0.0)
}

func BenchmarkAccount(b *testing.B) {
	budget := readers.NewBudget(1<<30, 1<<20)
	b.RunParallel(func(pb *testing.PB) {
		var a readers.Account
		for pb.Next() {
			_ = budget.Open(&a, 1<<10)
			_ = a.Take(1 << 10)
			a.Close()
		}
	})
}
