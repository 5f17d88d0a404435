package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/endpoint"
)

const tick = 100 * time.Millisecond

// prompt delivers every order at the next tick, with its answer.
func prompt() (time.Duration, bool) { return 0, false }

// settleFor lets one planner work for that long.
func settleFor(w *world, p *Planner, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(tick)
		w.step(p, 0, prompt)
		w.deliver()
	}
}

func openGroups(w *world) map[string]int {
	out := make(map[string]int)
	for _, x := range w.workers {
		if x.up && x.Membership != nil && x.Membership.State == endpoint.Open {
			out[x.Models[0]]++
		}
	}
	return out
}

func TestGroupsOfBothModelsOpen(t *testing.T) {
	w := newWorld(10, t.Fatalf)
	settleFor(w, NewPlanner(1, origin), 8*time.Second)
	qt.Check(t, openGroups(w), qt.DeepEquals, map[string]int{"big": 2, "small": 2})
	for _, x := range w.workers {
		qt.Check(t, x.Staged, qt.HasLen, 1, qt.Commentf("%s holds the other model on its host", x.ID))
	}
}

func TestSparesHoldTheModelWhoseGroupsLoseMostByALoss(t *testing.T) {
	w := newWorld(4, t.Fatalf)
	settleFor(w, NewPlanner(1, origin), 8*time.Second)
	qt.Assert(t, openGroups(w), qt.DeepEquals, map[string]int{"big": 1})
	for _, x := range w.workers {
		if x.Membership == nil {
			qt.Check(t, x.Staged, qt.DeepEquals, []string{"big"})
		}
	}
}

func TestLostMemberIsReplaced(t *testing.T) {
	w := newWorld(10, t.Fatalf)
	p := NewPlanner(1, origin)
	settleFor(w, p, 8*time.Second)
	for _, x := range w.workers {
		if m := x.Membership; m.Rank == 1 && x.Models[0] == "big" {
			x.up, x.lostAt = false, w.now
			break
		}
	}
	settleFor(w, p, 10*time.Second)
	open := openGroups(w)
	qt.Check(t, open["big"]*3+open["small"]*2 >= 8, qt.IsTrue, qt.Commentf("nine endpoints are left: %v", open))
}

func TestMembersOfASilentHeadWaitUntilItIsDead(t *testing.T) {
	w := newWorld(3, t.Fatalf)
	p := NewPlanner(1, origin)
	settleFor(w, p, 8*time.Second)
	var head *worker
	for _, x := range w.workers {
		if m := x.Membership; m != nil && m.State == endpoint.Open {
			head = x
		}
	}
	qt.Assert(t, head, qt.IsNotNil)
	// It serves on, but neither the store nor the leader hears it; another node does.
	head.cut, head.silent, head.lostAt = true, true, w.now
	settleFor(w, p, 20*time.Second) // TWO would fail the test
	qt.Check(t, head.Membership.State, qt.Equals, endpoint.Open)
}

func TestLaterLeaderFormsAnewWhatTheEarlierLeftUnopened(t *testing.T) {
	w := newWorld(4, t.Fatalf)
	first := NewPlanner(1, origin)
	for range 20 { // until the joins are given
		w.pass(tick)
		w.step(first, 0, prompt)
		w.deliver()
		if len(first.plans) > 0 {
			break
		}
	}
	qt.Assert(t, len(first.plans) > 0, qt.IsTrue)
	settleFor(w, NewPlanner(2, w.now), 6*time.Second)
	open := openGroups(w)
	qt.Check(t, open["big"]+open["small"] > 0, qt.IsTrue)
}

func TestLeavingMemberEndsItsGroupAfterItsRequests(t *testing.T) {
	w := newWorld(10, t.Fatalf)
	p := NewPlanner(1, origin)
	settleFor(w, p, 8*time.Second)
	for _, x := range w.workers {
		if x.Membership.Rank == 1 {
			x.Draining = true
			x.Revision++
			break
		}
	}
	w.pass(tick)
	w.step(p, 0, prompt)
	qt.Check(t, p.Retiring(), qt.HasLen, 1)
}

// TestHistories plays leaders that pause, see late and overlap, orders that are lost, late or unanswered, and
// endpoints that die, are cut off or come back, and checks at every order taken that no endpoint is joined
// elsewhere while its group is open (TWO), and that no group opens before all its members were ready (PARTIAL).
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(3, 10).Draw(t, "workers"), t.Fatalf)
		w.log = t.Logf
		tenure := int64(1)
		newLeader := func() *Planner {
			p := NewPlanner(tenure, w.now)
			p.Note = func(event, group string, pairs ...any) {
				if event != "supply" && event != "endpoints" {
					t.Logf("%5d ms leader %d: %s %s %v", w.now.Sub(origin).Milliseconds(), p.tenure, event, group, pairs)
				}
			}
			return p
		}
		leader := newLeader()
		var held []pending // decided by earlier leaders just before they paused
		delay := func() (time.Duration, bool) {
			switch rapid.IntRange(0, 9).Draw(t, "order") {
			case 0:
				return time.Duration(rapid.IntRange(2000, 12000).Draw(t, "late")) * time.Millisecond, true
			case 1:
				return 0, true
			case 2:
				return time.Hour, true // lost
			default:
				return 0, false
			}
		}
		ids := func() []string {
			var out []string
			for id := range w.workers {
				out = append(out, id)
			}
			return out
		}
		w.pass(tick)
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			w.pass(tick)
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0: // a leader pauses between deciding and sending, and another takes over
				sent := len(w.orders)
				w.step(leader, 0, func() (time.Duration, bool) { return 0, true })
				held = append(held, w.orders[sent:]...)
				w.orders = w.orders[:sent]
				tenure++
				leader = newLeader()
			case 1: // the paused ones wake up, and what they had decided leaves now
				for _, d := range held {
					d.at = w.now
					w.orders = append(w.orders, d)
				}
				held = nil
			case 2:
				x := w.workers[rapid.SampledFrom(sorted(ids())).Draw(t, "dies")]
				if x.up {
					x.up, x.lostAt = false, w.now
				}
			case 3:
				x := w.workers[rapid.SampledFrom(sorted(ids())).Draw(t, "cut")]
				if x.up && !x.cut {
					x.cut, x.silent, x.lostAt = true, rapid.Bool().Draw(t, "silent"), w.now
				}
			case 4:
				for _, x := range w.workers {
					x.cut, x.silent = false, false
					if x.up {
						x.failed = time.Time{}
					}
				}
			case 5:
				w.add()
			case 6:
				x := w.workers[rapid.SampledFrom(sorted(ids())).Draw(t, "drains")]
				x.Draining = true
				x.Revision++
			}
			w.step(leader, rapid.IntRange(0, 3).Draw(t, "late view"), delay)
			w.deliver()
		}
	})
}
