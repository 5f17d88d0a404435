package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/infra"
	_ "moorrun.dev/moorrun/internal/rapidseed"
	"moorrun.dev/moorrun/internal/replica"
	"moorrun.dev/moorrun/internal/replica/replicatest"
)

const loadTime = 2 * time.Second

var model = replicatest.Model

func TestGroupsFormAndServe(t *testing.T) {
	b := replicatest.New(9, loadTime, model("m", "1", 4, 2, 2))
	b.Run(5 * time.Second)
	qt.Assert(t, b.Serving("1"), qt.Equals, 2)
	qt.Assert(t, b.Assignment.Free, qt.Equals, 1)
}

func TestWarmSpareReplacesALostVMWithoutReload(t *testing.T) {
	b := replicatest.New(5, 30*time.Second, model("m", "1", 4, 1, 1))
	b.Run(2 * time.Minute)
	b.VMs[b.Assignment.Groups[0].VMs[1]].Silent = true
	b.Run(3 * time.Second)
	qt.Assert(t, b.Serving("1"), qt.Equals, 1)
	qt.Assert(t, b.Assignment.Groups[0].VMs[1], qt.Equals, "vm4")
}

func TestColdSpareReplacesALostVMAfterTheWaitLimit(t *testing.T) {
	b := replicatest.New(5, loadTime, model("m", "1", 4, 1, 1))
	b.ColdSpares = true
	b.Run(5 * time.Second)
	lost := b.Assignment.Groups[0].VMs[1]
	b.VMs[lost].Silent = true
	b.Run(time.Second)
	qt.Assert(t, slices.Contains(b.Assignment.Groups[0].VMs, lost), qt.IsTrue, qt.Commentf("a pause shorter than the wait limit must not cause a reload"))
	b.Run(10 * time.Second)
	qt.Assert(t, slices.Contains(b.Assignment.Groups[0].VMs, lost), qt.IsFalse)
	qt.Assert(t, b.Serving("1"), qt.Equals, 1)
}

func TestRecordedPausesAreWaitedOut(t *testing.T) {
	b := replicatest.New(5, loadTime, model("m", "1", 4, 1, 1))
	b.Policy.Reload = 4 * time.Second
	b.ColdSpares = true
	b.Run(5 * time.Second)
	members := slices.Clone(b.Assignment.Groups[0].VMs)
	for range 10 { // record pauses slightly shorter than a reload
		b.VMs[members[2]].Silent = true
		b.Run(1700 * time.Millisecond)
		b.VMs[members[2]].Silent = false
		b.Run(time.Second)
	}
	qt.Assert(t, b.Assignment.Groups[0].VMs, qt.DeepEquals, members)
}

func TestNewVersionUsesFreeVMsFirstAndKeepsAMinimumServing(t *testing.T) {
	for _, vms := range []int{8, 12} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			b := replicatest.New(vms, loadTime, model("m", "1", 4, 2, 2))
			b.Run(5 * time.Second)
			b.Declare(model("m", "2", 4, 2, 2))
			minServing := 1
			if vms == 12 {
				minServing = 2
			}
			for range 200 {
				b.Step(200 * time.Millisecond)
				qt.Assert(t, b.Serving("1")+b.Serving("2") >= minServing, qt.IsTrue)
			}
			qt.Assert(t, b.Serving("2"), qt.Equals, 2)
			qt.Assert(t, b.Serving("1"), qt.Equals, 0)
		})
	}
}

func TestGroupIsReclaimedForAModelBelowItsMinimum(t *testing.T) {
	b := replicatest.New(8, loadTime, model("lender", "1", 4, 0, 1), model("borrower", "1", 4, 1, 2))
	b.Declare(model("borrower", "1", 4, 1, 2))
	b.Run(8 * time.Second)
	qt.Assert(t, b.Serving("1"), qt.Equals, 2)
	b.Declare(model("borrower", "1", 4, 1, 2), model("lender", "1", 4, 1, 1))
	b.Run(20 * time.Second)
	qt.Assert(t, b.Serving("1"), qt.Equals, 2)
	models := []string{b.Assignment.Groups[0].Model, b.Assignment.Groups[1].Model}
	slices.Sort(models)
	qt.Assert(t, models, qt.DeepEquals, []string{"borrower", "lender"})
}

func TestNoVMInTwoGroupsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := replicatest.New(rapid.IntRange(4, 16).Draw(t, "vms"), loadTime, model("m", "1", 4, 1, 2), model("n", "1", 5, 1, 1))
		generation := b.Assignment.Generation
		for i := range rapid.IntRange(10, 150).Draw(t, "steps") {
			vm := b.VMs[fmt.Sprint("vm", rapid.IntRange(0, len(b.VMs)-1).Draw(t, "vm"))]
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				vm.Silent = !vm.Silent
			case 1:
				vm.Leaving = !vm.Leaving
			case 2:
				vm.Gone = !vm.Gone
			case 3: // the engine restarts with no model loaded
				vm.View.State = infra.EngineState{}
			case 4:
				b.Declare(model("m", fmt.Sprint(i), 4, 1, 2), model("n", "1", 5, rapid.IntRange(0, 1).Draw(t, "min"), 1))
			case 5: // a new lease holder starts with empty memory
				b.Memory = replica.NewMemory()
			}
			changes := b.Step(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			if err := b.Assignment.Check(); err != nil {
				t.Fatal(err)
			}
			if len(changes) > 0 && b.Assignment.Generation <= generation {
				t.Fatalf("the generation went from %d to %d", generation, b.Assignment.Generation)
			}
			generation = b.Assignment.Generation
			for _, g := range b.Assignment.Groups {
				if want := b.Config.Models()[g.Model].VMsPerReplica; len(g.VMs) != want {
					t.Fatalf("group %s has %d VMs, its model takes %d", g.ID, len(g.VMs), want)
				}
			}
		}
	})
}

func TestCheckFindsAVMInTwoGroups(t *testing.T) {
	a := &replica.Assignment{Domain: "d", Groups: []*replica.Group{{ID: "a", VMs: []string{"x", "y"}}, {ID: "b", VMs: []string{"y"}}}}
	qt.Assert(t, a.Check(), qt.ErrorMatches, ".*VM y is in group a and in b")
}
