package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/platform"
	"moorrun.dev/moorrun/internal/replica"
)

// bench is one fabric domain with engines that obey at once or after a while.
type bench struct {
	now    time.Time
	config *config.Config
	domain config.Domain
	vms    map[string]*engineVM
	a      *replica.Assignment
	memory *replica.Memory
	policy replica.Policy
}

type engineVM struct {
	silent, leaving, gone bool
	view                  replica.VMView
	readyAt               time.Time
}

const loadTime = 2 * time.Second

func newBench(vms int, models ...config.Model) *bench {
	b := &bench{now: time.Unix(1000, 0), vms: map[string]*engineVM{}, a: &replica.Assignment{Domain: "d"}, memory: replica.NewMemory(), policy: replica.DefaultPolicy}
	b.policy.Reload = loadTime
	b.domain.Name = "d"
	for i := range vms {
		name := fmt.Sprint("vm", i)
		b.domain.VMs = append(b.domain.VMs, config.VM{Name: name, Accelerators: 8})
		b.vms[name] = &engineVM{view: replica.VMView{Answered: true, LastAnswer: b.now}}
	}
	b.declare(models...)
	return b
}

func (b *bench) declare(models ...config.Model) {
	b.config = config.New(1, config.Set{
		"workspace/w":   {Workspace: &config.Workspace{Name: "w", Models: models}},
		"data_centre/x": {DataCentre: &config.DataCentre{Name: "x", Domains: []config.Domain{b.domain}}},
	})
}

func model(name, version string, vms, least, most int) config.Model {
	return config.Model{Name: name, Version: version, VMsPerReplica: vms, PlacesPerReplica: 8, Replicas: config.Replicas{Min: least, Max: most}}
}

// step lets time pass, the engines answer and obey, and one plan be made.
func (b *bench) step(d time.Duration) []replica.Change {
	b.now = b.now.Add(d)
	views := map[string]replica.VMView{}
	for name, vm := range b.vms {
		if !vm.silent && !vm.gone {
			vm.obey(name, b.a, b.now)
			vm.view.LastAnswer = b.now
		}
		v := vm.view
		v.Leaving, v.Gone = vm.leaving, vm.gone
		views[name] = v
	}
	p := replica.Place(b.config, []*replica.Assignment{b.a}, nil)
	next, changes := replica.Plan(b.a, replica.View{
		Now: b.now, Domain: b.domain, Models: b.config.Models(), VMs: views, Add: p.Add["d"], Drop: p.Drop["d"], Loads: 64,
		MayRoll: func(g *replica.Group) bool {
			return replica.MayRoll(g, b.config.Models()[g.Model].Model, []*replica.Assignment{b.a})
		},
	}, b.memory, b.policy)
	b.a = next
	return changes
}

func (vm *engineVM) obey(name string, a *replica.Assignment, now time.Time) {
	s := &vm.view.State
	g := a.GroupOf(name)
	if g == nil {
		s.Group, s.Ready = "", false
		return
	}
	if !s.InGroup(g.ID, g.Birth, g.Model, g.Version) {
		if s.Model != g.Model || s.Version != g.Version {
			vm.readyAt = now.Add(loadTime)
		}
		*s = platform.EngineState{VM: name, Group: g.ID, GroupBirth: g.Birth, Model: g.Model, Version: g.Version}
	}
	s.Ready = !now.Before(vm.readyAt)
}

func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.step(200 * time.Millisecond)
	}
}

func (b *bench) serving(version string) int {
	n := 0
	for _, g := range b.a.Groups {
		if g.State == replica.Serving && g.Version == version {
			n++
		}
	}
	return n
}

func TestGroupsFormAndBecomeWhole(t *testing.T) {
	b := newBench(9, model("m", "1", 4, 2, 2))
	b.run(5 * time.Second)
	qt.Assert(t, b.serving("1"), qt.Equals, 2)
	qt.Assert(t, b.a.Free, qt.Equals, 1)
}

func TestSpareTakesALostMembersPlaceAfterTheLimit(t *testing.T) {
	b := newBench(5, model("m", "1", 4, 1, 1))
	b.run(5 * time.Second)
	lost := b.a.Groups[0].VMs[1]
	b.vms[lost].silent = true
	b.run(time.Second)
	qt.Assert(t, slices.Contains(b.a.Groups[0].VMs, lost), qt.IsTrue, qt.Commentf("a short pause costs no reload"))
	b.run(10 * time.Second)
	qt.Assert(t, slices.Contains(b.a.Groups[0].VMs, lost), qt.IsFalse)
	qt.Assert(t, b.serving("1"), qt.Equals, 1)
}

func TestKnownPausesAreWaitedOut(t *testing.T) {
	b := newBench(5, model("m", "1", 4, 1, 1))
	b.policy.Reload = 4 * time.Second
	b.run(5 * time.Second)
	members := slices.Clone(b.a.Groups[0].VMs)
	for range 10 { // pauses a little shorter than a reload are seen to end
		b.vms[members[2]].silent = true
		b.run(1700 * time.Millisecond)
		b.vms[members[2]].silent = false
		b.run(time.Second)
	}
	qt.Assert(t, b.a.Groups[0].VMs, qt.DeepEquals, members)
}

func TestNewVersionTakesFreeVMsFirstAndKeepsTheFloor(t *testing.T) {
	for _, vms := range []int{8, 12} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			b := newBench(vms, model("m", "1", 4, 2, 2))
			b.run(5 * time.Second)
			b.declare(model("m", "2", 4, 2, 2))
			floor := 1
			if vms == 12 {
				floor = 2
			}
			for range 200 {
				b.step(200 * time.Millisecond)
				qt.Assert(t, b.serving("1")+b.serving("2") >= floor, qt.IsTrue)
			}
			qt.Assert(t, b.serving("2"), qt.Equals, 2)
			qt.Assert(t, b.serving("1"), qt.Equals, 0)
		})
	}
}

func TestLentGroupComesBackToTheModelBelowItsMinimum(t *testing.T) {
	b := newBench(8, model("lender", "1", 4, 0, 1), model("borrower", "1", 4, 1, 2))
	b.declare(model("borrower", "1", 4, 1, 2))
	b.run(8 * time.Second)
	qt.Assert(t, b.serving("1"), qt.Equals, 2)
	b.declare(model("borrower", "1", 4, 1, 2), model("lender", "1", 4, 1, 1))
	b.run(20 * time.Second)
	qt.Assert(t, b.serving("1"), qt.Equals, 2)
	models := []string{b.a.Groups[0].Model, b.a.Groups[1].Model}
	slices.Sort(models)
	qt.Assert(t, models, qt.DeepEquals, []string{"borrower", "lender"})
}

func TestNoVMInTwoGroupsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.IntRange(4, 16).Draw(t, "vms"), model("m", "1", 4, 1, 2), model("n", "1", 5, 1, 1))
		generation := b.a.Generation
		for i := range rapid.IntRange(10, 150).Draw(t, "steps") {
			vm := b.vms[fmt.Sprint("vm", rapid.IntRange(0, len(b.vms)-1).Draw(t, "vm"))]
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				vm.silent = !vm.silent
			case 1:
				vm.leaving = !vm.leaving
			case 2:
				vm.gone = !vm.gone
			case 3: // a restart with nothing in memory
				vm.view.State = platform.EngineState{}
			case 4:
				b.declare(model("m", fmt.Sprint(i), 4, 1, 2), model("n", "1", 5, rapid.IntRange(0, 1).Draw(t, "min"), 1))
			case 5: // another holder, which remembers nothing
				b.memory = replica.NewMemory()
			}
			changes := b.step(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			if err := b.a.Check(); err != nil {
				t.Fatal(err)
			}
			if len(changes) > 0 && b.a.Generation <= generation {
				t.Fatalf("the generation went from %d to %d", generation, b.a.Generation)
			}
			generation = b.a.Generation
			for _, g := range b.a.Groups {
				if want := b.config.Models()[g.Model].VMsPerReplica; len(g.VMs) != want {
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
