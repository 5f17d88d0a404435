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
	poison = quarantine.Fingerprint(1)
	other  = quarantine.Fingerprint(2)
)

// newEnding returns the ending of an endpoint in a domain of its own.
func newEnding(i int) quarantine.Ending {
	return quarantine.Ending{InstanceHash: uint32(i), Domain: uint32(i), At: time.Now()}
}

// recordEndings records the endings numbered from to to, inclusive, against the requests.
func recordEndings(t *quarantine.Table, from, to int, requests ...quarantine.Fingerprint) {
	for i := from; i <= to; i++ {
		t.Ended(newEnding(i), requests, time.Now())
	}
}

func acceptAll(quarantine.Source) bool { return true }

// heldFor returns whether a request is held back, and for how long.
func heldFor(t *quarantine.Table, f quarantine.Fingerprint) (time.Duration, bool) {
	hold, _ := t.Check(&quarantine.Signature{Request: f}, nil, time.Now())
	if hold == nil {
		return 0, false
	}
	return hold.Remaining, true
}

func isHeld(t *quarantine.Table, f quarantine.Fingerprint) bool {
	_, held := heldFor(t, f)
	return held
}

func TestThirdEndingHoldsRequestForOneMinute(t *testing.T) {
	table := quarantine.NewTable()
	var heldRecords []quarantine.Record
	table.OnHeld = func(r quarantine.Record) { heldRecords = append(heldRecords, r) }
	recordEndings(table, 1, 2, poison)
	recordEndings(table, 2, 2, poison) // two nodes may report the same ending
	qt.Check(t, isHeld(table, poison), qt.IsFalse)
	recordEndings(table, 3, 3, poison)
	left, held := heldFor(table, poison)
	qt.Check(t, held, qt.IsTrue)
	qt.Check(t, left > 59*time.Second && left <= time.Minute, qt.IsTrue, qt.Commentf("%s", left))
	recordEndings(table, 4, 4, poison)
	qt.Check(t, heldRecords, qt.HasLen, 1)
}

func TestRequestThatWasAnsweredIsNotToBlame(t *testing.T) {
	for name, setUp := range map[string]func(*quarantine.Table){
		"before the endings": func(table *quarantine.Table) {
			table.Answered(other, time.Now())
			recordEndings(table, 1, 5, other)
		},
		"after the endings": func(table *quarantine.Table) {
			recordEndings(table, 1, 5, other)
			table.Answered(other, time.Now())
		},
		"according to another node": func(table *quarantine.Table) {
			recordEndings(table, 1, 5, other)
			table.Merge([]quarantine.Record{{Fingerprint: other, Answered: true}}, quarantine.Source{VM: "b"}, time.Now())
		},
		"before another node reported endings": func(table *quarantine.Table) {
			table.Answered(other, time.Now())
			table.Merge([]quarantine.Record{{Fingerprint: other, Endings: []quarantine.Ending{newEnding(1), newEnding(2), newEnding(3)}}}, quarantine.Source{VM: "b"}, time.Now())
		},
	} {
		table := quarantine.NewTable()
		setUp(table)
		qt.Check(t, isHeld(table, other), qt.IsFalse, qt.Commentf(name))
	}
}

// A stream that broke is resumed at another endpoint, where it may run beside the same poison request again.
func TestWhoSharedEndpointsWithADeadlyRequestIsNotHeldBack(t *testing.T) {
	table := quarantine.NewTable()
	recordEndings(table, 1, 3, poison, other)
	qt.Check(t, isHeld(table, poison), qt.IsTrue)
	recordEndings(table, 4, 4, poison)
	qt.Check(t, isHeld(table, poison), qt.IsTrue)
	qt.Check(t, isHeld(table, other), qt.IsFalse, qt.Commentf("the fourth ending distinguishes it from the poison request"))
	recordEndings(table, 5, 7, other)
	qt.Check(t, isHeld(table, other), qt.IsTrue, qt.Commentf("three endings not explained by the poison request"))
}

func TestHoldExpiresUnlessRequestIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		recordEndings(table, 1, 3, poison)
		for range 20 {
			time.Sleep(10 * time.Second)
			qt.Check(t, isHeld(table, poison), qt.IsTrue)
		}
		time.Sleep(61 * time.Second)
		qt.Check(t, isHeld(table, poison), qt.IsFalse, qt.Commentf("no attempt for one minute"))
		recordEndings(table, 4, 4, poison)
		left, held := heldFor(table, poison)
		qt.Check(t, held, qt.IsTrue, qt.Commentf("one more ending holds it back again"))
		qt.Check(t, left, qt.Equals, 2*time.Minute)
		time.Sleep(20 * time.Minute)
		table.Sweep(time.Now())
		recordEndings(table, 5, 6, poison)
		qt.Check(t, isHeld(table, poison), qt.IsFalse, qt.Commentf("the earlier endings have expired"))
	})
}

func TestFullTableIsBoundedAndKeepsHeldRequests(t *testing.T) {
	table := quarantine.NewTable()
	recordEndings(table, 1, 3, poison)
	for f := range quarantine.Fingerprint(3_000) {
		table.Ended(newEnding(9), []quarantine.Fingerprint{100 + f}, time.Now())
	}
	qt.Check(t, isHeld(table, poison), qt.IsTrue)
	all, _ := table.Since(0, acceptAll, 1<<20)
	qt.Check(t, len(all) <= 1024, qt.IsTrue, qt.Commentf("%d entries", len(all)))
}

// Nodes receive changes in any order, repeatedly and through other nodes.
func TestTablesConvergeByExchangingRecords(t *testing.T) {
	name := func(node int) string { return fmt.Sprint("node-", node) }
	var tables []*quarantine.Table
	for range 4 {
		tables = append(tables, quarantine.NewTable())
	}
	for i := 1; i <= 3; i++ {
		recordEndings(tables[i], i, i, poison)
	}
	received := make(map[string]uint64)
	for round := range 3 {
		for from, a := range tables {
			for to, b := range tables {
				link := fmt.Sprint(from, to)
				records, reached := a.Since(received[link], func(from quarantine.Source) bool { return from.VM != name(to) }, 1)
				received[link] = reached
				b.Merge(records, quarantine.Source{VM: name(from)}, time.Now())
				if round == 1 {
					b.Merge(records, quarantine.Source{VM: name(from)}, time.Now())
				}
			}
		}
	}
	for _, table := range tables {
		qt.Check(t, isHeld(table, poison), qt.IsTrue)
		records, _ := table.Since(table.Sequence(), acceptAll, 10)
		qt.Check(t, records, qt.HasLen, 0)
		qt.Check(t, table.Digest(), qt.Equals, tables[0].Digest())
	}
	before := tables[0].Sequence()
	all, _ := tables[1].Since(0, acceptAll, 10)
	tables[0].Merge(all, quarantine.Source{VM: name(1)}, time.Now())
	qt.Check(t, tables[0].Sequence(), qt.Equals, before, qt.Commentf("known records cause no change"))
}

// Callers retry a request before it has been answered, so that several endpoints of a rack may run it when the rack is lost.
func TestEndpointsThatAreLostTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		recordEnding := func(life int, domain uint32) {
			e := newEnding(life)
			e.Domain = domain
			table.Ended(e, []quarantine.Fingerprint{other}, time.Now())
		}
		for life := range 5 {
			recordEnding(life, 1)
			time.Sleep(30 * time.Millisecond)
		}
		qt.Check(t, isHeld(table, other), qt.IsFalse)
		time.Sleep(time.Second)
		recordEnding(10, 1)
		qt.Check(t, isHeld(table, other), qt.IsFalse, qt.Commentf("two incidents are not enough"))
		recordEnding(11, 2)
		qt.Check(t, isHeld(table, other), qt.IsTrue, qt.Commentf("an ending in another domain is a third incident"))
	})
}
