// Package replicatest simulates fabric domains against the planner on a simulated clock.
package replicatest

import (
	"fmt"
	"time"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/replica"
)

// Accelerators is the number of accelerators of each VM.
const Accelerators = 8

// Domain is one simulated fabric domain. Its engines follow orders immediately and take LoadTime to load weights.
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
	ColdSpares bool          // spares do not load weights in advance
	Downtime   time.Duration // summed over the required groups, time in which a group was missing or not ready
	Stranded   time.Duration // summed over accelerators, idle time on VMs in no group or in one that is not ready
}

// VM is one simulated engine VM.
type VM struct {
	Silent, Leaving, Gone bool
	View                  replica.VMView
	readyAt               time.Time
}

// Model returns the declaration of a model whose replicas have vms VMs each, with least to most replicas.
func Model(name, version string, vms, least, most int) config.Model {
	return config.Model{Name: name, Version: version, VMsPerReplica: vms, PlacesPerReplica: 8, Replicas: config.Replicas{Min: least, Max: most}}
}

// New returns a domain with the given number of VMs, named vm0, vm1 and so on.
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

// Declare replaces the declared models.
func (d *Domain) Declare(models ...config.Model) {
	d.Config = config.New(1, config.Set{
		"workspace/w":   {Workspace: &config.Workspace{Name: "w", Models: models}},
		"data_centre/x": {DataCentre: &config.DataCentre{Name: "x", Domains: []config.Domain{d.Declared}}},
	})
}

// Step advances the clock by pass, lets the engines answer and follow their orders, and makes one plan.
func (d *Domain) Step(pass time.Duration) []replica.Change {
	d.Now = d.Now.Add(pass)
	views := d.collectViews()
	d.accumulateCosts(views, pass)
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

// Run advances the domain by length, in steps of 200 ms.
func (d *Domain) Run(length time.Duration) {
	const step = 200 * time.Millisecond
	for end := d.Now.Add(length); d.Now.Before(end); {
		d.Step(step)
	}
}

// Serving returns the number of serving groups of the given version.
func (d *Domain) Serving(version string) int {
	n := 0
	for _, g := range d.Assignment.Groups {
		if g.State == replica.Serving && g.Version == version {
			n++
		}
	}
	return n
}

func (d *Domain) collectViews() map[string]replica.VMView {
	views := make(map[string]replica.VMView, len(d.VMs))
	for name, vm := range d.VMs {
		if !vm.Silent && !vm.Gone {
			vm.applyAssignment(name, d.Assignment, d.Now, d.LoadTime, d.ColdSpares)
			vm.View.LastAnswer = d.Now
		}
		v := vm.View
		v.Leaving, v.Gone = vm.Leaving, vm.Gone
		views[name] = v
	}
	return views
}

func (vm *VM) applyAssignment(name string, a *replica.Assignment, now time.Time, load time.Duration, cold bool) {
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

// accumulateCosts adds the passed time to Downtime and Stranded. A required group is down from its first loss until
// it, or a replacement, is ready.
func (d *Domain) accumulateCosts(views map[string]replica.VMView, pass time.Duration) {
	whole := 0
	for _, vm := range d.Declared.VMs {
		g := d.Assignment.GroupOf(vm.Name)
		if v := d.VMs[vm.Name]; v.Silent || v.Gone {
			continue
		}
		if g == nil || !replica.AllVMsReady(g, views, d.Now, pass) {
			d.Stranded += pass * Accelerators
		}
	}
	wanted := 0
	for _, m := range d.Config.Models() {
		wanted += m.Replicas.Min
	}
	for _, g := range d.Assignment.Groups {
		if g.State != replica.Draining && replica.AllVMsReady(g, views, d.Now, pass) {
			whole++
		}
	}
	d.Downtime += pass * time.Duration(max(0, wanted-whole))
}
