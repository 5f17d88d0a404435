// Package replicatest plays fabric domains against the planner with a clock of its own.
package replicatest

import (
	"fmt"
	"time"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/replica"
)

// Accelerators is how many each VM has.
const Accelerators = 8

// Domain is one fabric domain whose engines obey at once and load weights for a while.
type Domain struct {
	Now        time.Time
	LoadTime   time.Duration
	Config     *config.Config
	Declared   config.Domain
	VMs        map[string]*VM
	Assignment *replica.Assignment
	Memory     *replica.Memory
	Policy     replica.Policy
	Prices     config.Prices
	ColdSpares bool          // spares cannot load ahead
	Downtime   time.Duration // group seconds out of use, of groups that had served
	Stranded   time.Duration // accelerator seconds idle in groups that are not whole, or in none
}

// VM is one engine VM.
type VM struct {
	Silent, Leaving, Gone bool
	View                  replica.VMView
	readyAt               time.Time
}

// Model declares a model for a Domain.
func Model(name, version string, vms, least, most int) config.Model {
	return config.Model{Name: name, Version: version, VMsPerReplica: vms, PlacesPerReplica: 8, Replicas: config.Replicas{Min: least, Max: most}}
}

// New returns a domain of that many VMs, named vm0 and so on.
func New(vms int, loadTime time.Duration, models ...config.Model) *Domain {
	d := &Domain{
		Now: time.Unix(1000, 0), LoadTime: loadTime, VMs: make(map[string]*VM), Assignment: &replica.Assignment{Domain: "d"},
		Memory: replica.NewMemory(), Policy: replica.DefaultPolicy, Prices: config.DefaultPrices,
	}
	d.Policy.Reload = loadTime
	d.Policy.LossAfter = 1500 * time.Millisecond
	d.Declared.Name = "d"
	for i := range vms {
		name := fmt.Sprint("vm", i)
		d.Declared.VMs = append(d.Declared.VMs, config.VM{Name: name, Accelerators: Accelerators})
		d.VMs[name] = &VM{View: replica.VMView{Answered: true, LastAnswer: d.Now}}
	}
	d.Declare(models...)
	return d
}

// Declare replaces the models.
func (d *Domain) Declare(models ...config.Model) {
	d.Config = config.New(1, config.Set{
		"workspace/w":   {Workspace: &config.Workspace{Name: "w", Models: models}},
		"data_centre/x": {DataCentre: &config.DataCentre{Name: "x", Domains: []config.Domain{d.Declared}}},
	})
}

// Step lets time pass, the engines answer and obey, and one plan be made.
func (d *Domain) Step(pass time.Duration) []replica.Change {
	d.Now = d.Now.Add(pass)
	views := d.look()
	d.measure(views, pass)
	all := []*replica.Assignment{d.Assignment}
	p := replica.Place(d.Config, all, nil)
	next, changes := replica.Plan(d.Assignment, replica.View{
		Now: d.Now, Domain: d.Declared, Models: d.Config.Models(), VMs: views, Prices: d.Prices,
		Add: p.Add["d"], Drop: p.Drop["d"], Loads: 64,
		MayRoll: func(g *replica.Group) bool { return replica.MayRoll(g, d.Config.Models()[g.Model].Model, all) },
	}, d.Memory, d.Policy)
	d.Assignment = next
	return changes
}

// Run steps until so much time has passed.
func (d *Domain) Run(length time.Duration) {
	const step = 200 * time.Millisecond
	for end := d.Now.Add(length); d.Now.Before(end); {
		d.Step(step)
	}
}

// Serving returns how many groups of a version serve.
func (d *Domain) Serving(version string) int {
	n := 0
	for _, g := range d.Assignment.Groups {
		if g.State == replica.Serving && g.Version == version {
			n++
		}
	}
	return n
}

func (d *Domain) look() map[string]replica.VMView {
	views := make(map[string]replica.VMView, len(d.VMs))
	for name, vm := range d.VMs {
		if !vm.Silent && !vm.Gone {
			vm.obey(name, d.Assignment, d.Now, d.LoadTime, d.ColdSpares)
			vm.View.LastAnswer = d.Now
		}
		v := vm.View
		v.Leaving, v.Gone = vm.Leaving, vm.Gone
		views[name] = v
	}
	return views
}

func (vm *VM) obey(name string, a *replica.Assignment, now time.Time, load time.Duration, cold bool) {
	s := &vm.View.State
	g := a.GroupOf(name)
	if g == nil {
		s.Group, s.Ready = "", false
		if w, ok := a.WarmOn(name); ok && !cold && (s.Model != w.Model || s.Version != w.Version) {
			vm.readyAt = now.Add(load)
			s.Model, s.Version = w.Model, w.Version
		}
		return
	}
	if !s.InGroup(g.ID, g.Birth, g.Model, g.Version) {
		if s.Model != g.Model || s.Version != g.Version {
			vm.readyAt = now.Add(load)
		}
		*s = infra.EngineState{VM: name, Group: g.ID, GroupBirth: g.Birth, Model: g.Model, Version: g.Version}
	}
	s.Ready = !now.Before(vm.readyAt)
}

// measure charges the passed time to groups that are not whole and to idle accelerators. A group that should
// be there is down from its first loss until it, or another in its place, is whole.
func (d *Domain) measure(views map[string]replica.VMView, pass time.Duration) {
	whole := 0
	for _, vm := range d.Declared.VMs {
		g := d.Assignment.GroupOf(vm.Name)
		if v := d.VMs[vm.Name]; v.Silent || v.Gone {
			continue
		}
		if g == nil || !replica.Whole(g, views, d.Now, pass) {
			d.Stranded += pass * Accelerators
		}
	}
	wanted := 0
	for _, m := range d.Config.Models() {
		wanted += m.Replicas.Min
	}
	for _, g := range d.Assignment.Groups {
		if g.State != replica.Draining && replica.Whole(g, views, d.Now, pass) {
			whole++
		}
	}
	d.Downtime += pass * time.Duration(max(0, wanted-whole))
}
