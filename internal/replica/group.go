package replica

import (
	"slices"

	"moorrun.dev/moorrun/internal/config"
)

// Group is one replica of a model and the VMs that jointly serve it.
type Group struct {
	ID        string   `json:"id"`
	Workspace string   `json:"workspace"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapters  []string `json:"adapters,omitempty"`
	Places    int      `json:"places"`
	VMs       []string `json:"vms"`   // leader first
	Birth     int64    `json:"birth"` // assignment generation at which its VMs or its model's version or shape last changed
	State     State    `json:"state"`
	Leaving   bool     `json:"leaving,omitempty"` // one of its VMs is leaving; a replacement group is being formed
	Served    bool     `json:"served,omitempty"`  // it has reached Serving at least once
	Reason    string   `json:"reason,omitempty"`  // reason for draining
}

// HasServed reports whether the group has served and is not draining, so that an outage of it counts as downtime.
func (g *Group) HasServed() bool { return g.Served && g.State != Draining }

func (g *Group) clone() *Group {
	c := *g
	c.VMs = slices.Clone(g.VMs)
	c.Adapters = slices.Clone(g.Adapters)
	return &c
}

// current reports whether the group matches the model's current declaration and none of its VMs is leaving.
func (g *Group) current(m config.Model) bool {
	return !g.Leaving && g.Version == m.Version && g.Places == m.PlacesPerReplica &&
		len(g.VMs) == m.VMsPerReplica && slices.Equal(g.Adapters, m.Adapters)
}
