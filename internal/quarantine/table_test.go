package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/quarantine"
)

const (
	deadly = quarantine.Fingerprint(1)
	other  = quarantine.Fingerprint(2)
)

// ending returns the ending of an endpoint in a domain of its own.
func ending(i int) quarantine.Ending {
	return quarantine.Ending{Life: uint32(i), Domain: uint32(i), At: time.Now()}
}

// ended notes endings under the requests, from one number to another.
func ended(t *quarantine.Table, from, to int, requests ...quarantine.Fingerprint) {
	for i := from; i <= to; i++ {
		t.Ended(ending(i), requests, time.Now())
	}
}

func everything(quarantine.Source) bool { return true }

func isHeld(t *quarantine.Table, f quarantine.Fingerprint) bool {
	_, held := t.Held(f, time.Now())
	return held
}

func TestThirdEndingHoldsARequestBackAndSaysUntilWhen(t *testing.T) {
	table := quarantine.NewTable()
	var told []quarantine.Record
	table.OnHeld = func(r quarantine.Record) { told = append(told, r) }
	ended(table, 1, 2, deadly)
	ended(table, 2, 2, deadly) // two nodes may see one ending
	qt.Check(t, isHeld(table, deadly), qt.IsFalse)
	ended(table, 3, 3, deadly)
	left, held := table.Held(deadly, time.Now())
	qt.Check(t, held, qt.IsTrue)
	qt.Check(t, left > 59*time.Second && left <= time.Minute, qt.IsTrue, qt.Commentf("%s", left))
	ended(table, 4, 4, deadly)
	qt.Check(t, told, qt.HasLen, 1)
}

func TestRequestThatWasAnsweredIsNotToBlame(t *testing.T) {
	for name, play := range map[string]func(*quarantine.Table){
		"before the endings": func(table *quarantine.Table) {
			table.Answered(other, time.Now())
			ended(table, 1, 5, other)
		},
		"after the endings": func(table *quarantine.Table) {
			ended(table, 1, 5, other)
			table.Answered(other, time.Now())
		},
		"by another node": func(table *quarantine.Table) {
			ended(table, 1, 5, other)
			table.Merge([]quarantine.Record{{Fingerprint: other, Answered: true}}, quarantine.Source{VM: "b"}, time.Now())
		},
		"before another node told of endings": func(table *quarantine.Table) {
			table.Answered(other, time.Now())
			table.Merge([]quarantine.Record{{Fingerprint: other, Endings: []quarantine.Ending{ending(1), ending(2), ending(3)}}}, quarantine.Source{VM: "b"}, time.Now())
		},
	} {
		table := quarantine.NewTable()
		play(table)
		qt.Check(t, isHeld(table, other), qt.IsFalse, qt.Commentf(name))
	}
}

// A stream that broke off is resumed elsewhere, and may meet the same deadly request there again.
func TestWhoSharedEndpointsWithADeadlyRequestIsNotHeldBack(t *testing.T) {
	table := quarantine.NewTable()
	ended(table, 1, 3, deadly, other)
	qt.Check(t, isHeld(table, deadly), qt.IsTrue)
	ended(table, 4, 4, deadly)
	qt.Check(t, isHeld(table, deadly), qt.IsTrue)
	qt.Check(t, isHeld(table, other), qt.IsFalse, qt.Commentf("the fourth ending tells them apart"))
	ended(table, 5, 7, other)
	qt.Check(t, isHeld(table, other), qt.IsTrue, qt.Commentf("three endings of its own"))
}

func TestHoldRunsOutUnlessTheRequestKeepsComing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		ended(table, 1, 3, deadly)
		for range 20 {
			time.Sleep(10 * time.Second)
			qt.Check(t, isHeld(table, deadly), qt.IsTrue)
		}
		time.Sleep(61 * time.Second)
		qt.Check(t, isHeld(table, deadly), qt.IsFalse, qt.Commentf("nobody has asked for a minute"))
		ended(table, 4, 4, deadly)
		left, held := table.Held(deadly, time.Now())
		qt.Check(t, held, qt.IsTrue, qt.Commentf("one more ending is enough"))
		qt.Check(t, left, qt.Equals, 2*time.Minute)
		time.Sleep(20 * time.Minute)
		table.Sweep(time.Now())
		ended(table, 5, 6, deadly)
		qt.Check(t, isHeld(table, deadly), qt.IsFalse, qt.Commentf("after a long while it is forgotten"))
	})
}

func TestTableIsBoundedAndKeepsWhatIsHeld(t *testing.T) {
	table := quarantine.NewTable()
	ended(table, 1, 3, deadly)
	for f := range quarantine.Fingerprint(3_000) {
		table.Ended(ending(9), []quarantine.Fingerprint{100 + f}, time.Now())
	}
	qt.Check(t, isHeld(table, deadly), qt.IsTrue)
	all, _ := table.Since(0, everything, 1<<20)
	qt.Check(t, len(all) <= 1024, qt.IsTrue, qt.Commentf("%d entries", len(all)))
}

// Nodes hear of changes in any order, several times, and by way of each other.
func TestTablesThatTellEachOtherAgree(t *testing.T) {
	name := func(node int) string { return fmt.Sprint("node-", node) }
	var tables []*quarantine.Table
	for range 4 {
		tables = append(tables, quarantine.NewTable())
	}
	for i := 1; i <= 3; i++ {
		ended(tables[i], i, i, deadly)
	}
	told := make(map[string]uint64)
	for round := range 3 {
		for from, a := range tables {
			for to, b := range tables {
				way := fmt.Sprint(from, to)
				records, reached := a.Since(told[way], func(from quarantine.Source) bool { return from.VM != name(to) }, 1)
				told[way] = reached
				b.Merge(records, quarantine.Source{VM: name(from)}, time.Now())
				if round == 1 {
					b.Merge(records, quarantine.Source{VM: name(from)}, time.Now())
				}
			}
		}
	}
	for _, table := range tables {
		qt.Check(t, isHeld(table, deadly), qt.IsTrue)
		records, _ := table.Since(table.Sequence(), everything, 10)
		qt.Check(t, records, qt.HasLen, 0)
		qt.Check(t, table.Digest(), qt.Equals, tables[0].Digest())
	}
	before := tables[0].Sequence()
	all, _ := tables[1].Since(0, everything, 10)
	tables[0].Merge(all, quarantine.Source{VM: name(1)}, time.Now())
	qt.Check(t, tables[0].Sequence(), qt.Equals, before, qt.Commentf("what is known is not passed on again"))
}

// Callers repeat a request before it was answered, so that several endpoints of a rack have it when that is lost.
func TestEndpointsThatAreLostTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		end := func(life int, domain uint32) {
			e := ending(life)
			e.Domain = domain
			table.Ended(e, []quarantine.Fingerprint{other}, time.Now())
		}
		for life := range 5 {
			end(life, 1)
			time.Sleep(30 * time.Millisecond)
		}
		qt.Check(t, isHeld(table, other), qt.IsFalse)
		time.Sleep(time.Second)
		end(10, 1)
		qt.Check(t, isHeld(table, other), qt.IsFalse, qt.Commentf("two incidents"))
		end(11, 2)
		qt.Check(t, isHeld(table, other), qt.IsTrue, qt.Commentf("another domain is another incident"))
	})
}
