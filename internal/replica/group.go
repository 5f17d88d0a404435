package replica

import (
	"slices"

	"moorrun.dev/moorrun/internal/config"
)

// Group is one replica: a model, and the VMs that serve it together.
type Group struct {
	ID        string   `json:"id"`
	Workspace string   `json:"workspace"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapters  []string `json:"adapters,omitempty"`
	Places    int      `json:"places"`
	VMs       []string `json:"vms"`   // the leader first
	Birth     int64    `json:"birth"` // generation at which its VMs or model last changed
	State     State    `json:"state"`
	Leaving   bool     `json:"leaving,omitempty"` // a VM is on its way out; another group takes its place
	Served    bool     `json:"served,omitempty"`  // it has been whole before
	Reason    string   `json:"reason,omitempty"`  // why it is draining
}

// HasServed reports whether the group has been in use, so that its absence is downtime.
func (g *Group) HasServed() bool { return g.Served && g.State != Draining }

func (g *Group) clone() *Group {
	c := *g
	c.VMs = slices.Clone(g.VMs)
	c.Adapters = slices.Clone(g.Adapters)
	return &c
}

// current reports whether the group serves the model as now declared, on VMs that stay.
func (g *Group) current(m config.Model) bool {
	return !g.Leaving && g.Version == m.Version && g.Places == m.PlacesPerReplica &&
		len(g.VMs) == m.VMsPerReplica && slices.Equal(g.Adapters, m.Adapters)
}
