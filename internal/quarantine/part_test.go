package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/quarantine"
)

// requests counts the requests whose signatures were made, so that no two are alike.
var requests int

// newSignature returns the signature of a request of a workspace for a model, unlike any other.
func newSignature(workspace, model string, parts ...string) *quarantine.Signature {
	requests++
	c := quarantine.Content{Workspace: workspace, Body: []byte(fmt.Sprint(requests))}
	s := quarantine.NewSignature(&c, model, parts)
	return &s
}

// endUnder records the endings numbered from to to, inclusive, of endpoints that had not begun to answer a request, another one at
// each.
func endUnder(t *quarantine.Table, from, to int, workspace, model string, parts ...string) {
	for i := from; i <= to; i++ {
		s := newSignature(workspace, model, parts...)
		t.Ended(newEnding(i), []quarantine.Fingerprint{s.Request}, time.Now())
		t.PartsEnded(newEnding(i), s.Parts, time.Now())
	}
}

// heldPart returns the part that a request is held back for, or "" if it may be sent.
func heldPart(t *quarantine.Table, s *quarantine.Signature) string {
	hold, _ := t.Check(s, nil, time.Now())
	if hold == nil {
		return ""
	}
	return hold.PartID
}

// Guards against counting endings by whole requests only: requests of which no two are alike share the part that ends endpoints.
func TestThirdEndingUnderPartHoldsAllRequestsWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		for i := 1; i <= 3; i++ {
			qt.Check(t, heldPart(table, newSignature("w", "m", "common", "bad", "own")), qt.Equals, "")
			endUnder(table, i, i, "w", "m", "common", "bad", fmt.Sprint("own-", i))
			time.Sleep(time.Second)
			table.Begun(newSignature("w", "m", "common", "other").Parts, time.Now())
		}
		hold, _ := table.Check(newSignature("w", "m", "bad", "own"), nil, time.Now())
		qt.Assert(t, hold, qt.IsNotNil)
		qt.Check(t, hold.PartID, qt.Equals, "bad")
		qt.Check(t, hold.Endings, qt.HasLen, 3)
		qt.Check(t, hold.Remaining > 50*time.Second && hold.Remaining <= time.Minute, qt.IsTrue, qt.Commentf("%s", hold.Remaining))
		qt.Check(t, heldPart(table, newSignature("w", "m", "common", "own")), qt.Equals, "")
	})
}

// Guards against a part that was answered for a long time before it began to end endpoints, and against a part that is held back
// for endings although answers on it have begun since.
func TestAnswerThatBeginsClearsPartOfEarlierEndingsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		table.Begun(newSignature("w", "m", "part").Parts, time.Now())
		time.Sleep(time.Second)
		endUnder(table, 1, 3, "w", "m", "part")
		qt.Check(t, heldPart(table, newSignature("w", "m", "part")), qt.Equals, "", qt.Commentf("answers may still clear it"))
		time.Sleep(time.Second)
		qt.Check(t, heldPart(table, newSignature("w", "m", "part")), qt.Equals, "part", qt.Commentf("answered before the endings"))
		time.Sleep(time.Second)
		table.Begun(newSignature("w", "m", "part").Parts, time.Now())
		qt.Check(t, heldPart(table, newSignature("w", "m", "part")), qt.Equals, "", qt.Commentf("answered after the endings"))
		time.Sleep(time.Second)
		endUnder(table, 4, 5, "w", "m", "part")
		qt.Check(t, heldPart(table, newSignature("w", "m", "part")), qt.Equals, "", qt.Commentf("two endings since"))
		endUnder(table, 6, 6, "w", "m", "part")
		time.Sleep(time.Second)
		qt.Check(t, heldPart(table, newSignature("w", "m", "part")), qt.Equals, "part")
	})
}

// Guards against one node's answers not clearing a part at the nodes that have recorded its endings, in either order.
func TestNodesClearPartForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, answeredFirst := range map[string]bool{"answer known first": true, "endings known first": false} {
			a, b := quarantine.NewTable(), quarantine.NewTable()
			endUnder(a, 1, 3, "w", "m", "part")
			time.Sleep(time.Second)
			send := func(from, to *quarantine.Table) {
				records, _ := from.Since(0, acceptAll, 100)
				to.Merge(records, quarantine.Source{VM: "x"}, time.Now())
			}
			if !answeredFirst {
				send(a, b)
				qt.Check(t, heldPart(b, newSignature("w", "m", "part")), qt.Equals, "part", qt.Commentf(name))
			}
			b.Begun(newSignature("w", "m", "part").Parts, time.Now())
			send(a, b)
			send(b, a)
			qt.Check(t, heldPart(a, newSignature("w", "m", "part")), qt.Equals, "", qt.Commentf(name))
			qt.Check(t, heldPart(b, newSignature("w", "m", "part")), qt.Equals, "", qt.Commentf(name))
			qt.Check(t, a.Digest(), qt.Equals, b.Digest())
		}
	})
}

// Guards against a workspace that has a part of others held back by naming it in requests that end endpoints for another reason.
func TestPartNamedByAnotherWorkspaceIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		endUnder(table, 1, 6, "attacker", "m", "shared")
		qt.Check(t, heldPart(table, newSignature("attacker", "m", "shared")), qt.Equals, "shared")
		time.Sleep(time.Second)
		victim := newSignature("victim", "m", "shared")
		qt.Check(t, heldPart(table, victim), qt.Equals, "")
		time.Sleep(time.Second)
		table.Begun(victim.Parts, time.Now())
		for range 10 {
			qt.Check(t, heldPart(table, newSignature("victim", "m", "shared")), qt.Equals, "")
		}
		qt.Check(t, heldPart(table, newSignature("attacker", "m", "shared")), qt.Equals, "shared")
	})
}

// Guards against a workspace that protects a part which ends endpoints by naming it in harmless requests.
func TestAnswersToAnotherWorkspaceDoNotClearPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		for i := 1; i <= 3; i++ {
			endUnder(table, i, i, "victim", "m", "bad")
			time.Sleep(time.Second)
			table.Begun(newSignature("attacker", "m2", "bad").Parts, time.Now())
		}
		qt.Check(t, heldPart(table, newSignature("victim", "m", "bad")), qt.Equals, "bad")
		qt.Check(t, heldPart(table, newSignature("attacker", "m2", "bad")), qt.Equals, "")
	})
}

// Guards against a part that ends the endpoints of one model only: answers of another model do not clear it.
func TestPartIsHeldBackForOneModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		for i := 1; i <= 3; i++ {
			endUnder(table, i, i, "w", "broken", "part")
			time.Sleep(time.Second)
			table.Begun(newSignature("w", "sound", "part").Parts, time.Now())
		}
		qt.Check(t, heldPart(table, newSignature("w", "broken", "part")), qt.Equals, "part")
		qt.Check(t, heldPart(table, newSignature("w", "sound", "part")), qt.Equals, "")
	})
}

// Guards against a rarely used part being held back because it always stood beside the one that ends endpoints: requests with
// only one of the two are sent one at a time until an answer or one more ending tells them apart.
func TestPartsThatAlwaysComeTogetherAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		for i := 1; i <= 3; i++ {
			endUnder(table, i, i, "w", "m", "rare", "bad", fmt.Sprint("own-", i))
		}
		qt.Check(t, heldPart(table, newSignature("w", "m", "rare", "bad")), qt.Not(qt.Equals), "")
		time.Sleep(5 * time.Second)
		rare := newSignature("w", "m", "rare", "own")
		hold, trial := table.Check(rare, nil, time.Now())
		qt.Assert(t, hold, qt.IsNil)
		hold, _ = table.Check(rare, trial, time.Now())
		qt.Check(t, hold, qt.IsNil, qt.Commentf("the same attempt is checked again"))
		hold, _ = table.Check(newSignature("w", "m", "rare", "own"), nil, time.Now())
		qt.Assert(t, hold, qt.IsNotNil, qt.Commentf("one at a time"))
		qt.Check(t, hold.Remaining <= 5*time.Second, qt.IsTrue, qt.Commentf("%s", hold.Remaining))
		time.Sleep(time.Second)
		table.Begun(rare.Parts, time.Now())
		qt.Check(t, heldPart(table, newSignature("w", "m", "rare", "own")), qt.Equals, "")
		qt.Check(t, heldPart(table, newSignature("w", "m", "bad", "own")), qt.Equals, "bad")
	})
}

// Guards against holding a part back for as long as requests with it keep coming: after each hold one node sends one of them.
func TestOneNodeTriesHeldPartAgainAfterEachHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, elsewhere := quarantine.NewTable(), quarantine.NewTable()
		table.MayTry = func(quarantine.Fingerprint) bool { return true }
		elsewhere.MayTry = func(quarantine.Fingerprint) bool { return false }
		sent := func(d time.Duration) (count int) {
			for range d / time.Second {
				time.Sleep(time.Second)
				if heldPart(table, newSignature("w", "m", "part")) == "" {
					count++
				}
				qt.Check(t, heldPart(elsewhere, newSignature("w", "m", "part")), qt.Equals, "part")
			}
			return count
		}
		endUnder(table, 1, 3, "w", "m", "part")
		endUnder(elsewhere, 1, 3, "w", "m", "part")
		qt.Check(t, sent(59*time.Second), qt.Equals, 0)
		qt.Check(t, sent(10*time.Second), qt.Equals, 1)
		endUnder(table, 4, 4, "w", "m", "part")
		qt.Check(t, sent(110*time.Second), qt.Equals, 0, qt.Commentf("the next hold is twice as long"))
		qt.Check(t, sent(20*time.Second), qt.Equals, 1)
	})
}

// Guards against a caller who names new parts in each request and so drives the endings of another part out of the table.
func TestNewPartsDoNotDisplaceSuspectedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		flood := func(ending int) {
			for i := range 8 {
				var parts []string
				for part := range 16 {
					parts = append(parts, fmt.Sprint("new-", ending, "-", i, "-", part))
				}
				endUnder(table, ending, ending, "w", "m", parts...)
			}
		}
		for i := 1; i <= 3; i++ {
			flood(10 * i)
			endUnder(table, i, i, "w", "m", "bad", fmt.Sprint("own-", i))
			time.Sleep(time.Second)
		}
		for i := range 20 {
			flood(100 + i)
		}
		qt.Check(t, heldPart(table, newSignature("w", "m", "bad")), qt.Equals, "bad")
	})
}

// The list in the store has one form for requests and parts, which processes of an earlier version read too.
func TestHeldPartSurvivesInStoredList(t *testing.T) {
	table := quarantine.NewTable()
	endUnder(table, 1, 3, "w", "m", "bad")
	content, err := json.Marshal(quarantine.NewStoredList(table.Holds(time.Now()), time.Now()))
	qt.Assert(t, err, qt.IsNil)
	records, err := quarantine.ParseStoredList(content, time.Now())
	qt.Assert(t, err, qt.IsNil)
	restored := quarantine.NewTable()
	restored.Merge(records, quarantine.Source{}, time.Now())
	qt.Check(t, heldPart(restored, newSignature("w", "m", "bad")), qt.Equals, "bad")
	qt.Check(t, restored.Digest(), qt.Equals, table.Digest())
}

func TestSignatureTellsPartsAndScopesApart(t *testing.T) {
	c := quarantine.Content{Workspace: "w", Body: []byte("b")}
	seen := make(map[quarantine.Fingerprint]bool)
	for _, model := range []string{"m", "w"} {
		s := quarantine.NewSignature(&c, model, []string{"m", "w", "mw"})
		for _, f := range s.Parts {
			seen[f] = true
		}
	}
	qt.Check(t, seen, qt.HasLen, 3*4, qt.Commentf("each part by itself, in the workspace, and for two models"))
}

// Endings under one request that is sent again and again leave open whether it or a part of its prompt is the cause: one request
// with the part decides, and no more are sent.
func TestEndingsUnderOneRequestLeaveItsPartInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := quarantine.NewTable()
		repeated := newSignature("w", "m", "bad", "own")
		for i := 1; i <= 3; i++ {
			table.Ended(newEnding(i), []quarantine.Fingerprint{repeated.Request}, time.Now())
			table.PartsEnded(newEnding(i), repeated.Parts, time.Now())
		}
		qt.Check(t, heldPart(table, newSignature("w", "m", "bad")), qt.Equals, "bad", qt.Commentf("right after the endings"))
		time.Sleep(time.Second)
		qt.Check(t, heldPart(table, newSignature("w", "m", "bad")), qt.Equals, "", qt.Commentf("one request decides"))
		qt.Check(t, heldPart(table, newSignature("w", "m", "bad")), qt.Equals, "bad", qt.Commentf("no other meanwhile"))
		endUnder(table, 4, 4, "w", "m", "bad")
		for range 20 {
			time.Sleep(time.Second)
			qt.Check(t, heldPart(table, newSignature("w", "m", "bad")), qt.Equals, "bad")
		}
	})
}
