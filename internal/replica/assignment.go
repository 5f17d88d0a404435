// Package replica decides which VMs form which replica group. It does no I/O and reads no clock.
package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Assignment is the single stored record of which VM belongs to which group of a fabric domain. It is written
// with compare-and-swap, so a VM could be in two groups only if one record listed it twice, which Check rejects.
type Assignment struct {
	Domain     string   `json:"domain"`
	DataCentre string   `json:"data_centre"`
	Holder     string   `json:"holder"`     // VM whose lease covered the write
	Epoch      int64    `json:"epoch"`      // epoch of that lease
	Revision   int64    `json:"revision"`   // revision of the configuration it was planned from
	Generation int64    `json:"generation"` // increases with every write; orders to engines carry it
	NextGroup  int64    `json:"next_group"` // number of the last group id given out; the next group gets NextGroup + 1
	Free       int      `json:"free"`       // number of usable VMs in no group
	Groups     []*Group `json:"groups"`
	Warm       []Warm   `json:"warm,omitempty"` // free VMs that hold a model's weights as spares
	Operation  string   `json:"operation"`      // id of the write
}

// UnmarshalJSON implements json.Unmarshaler. It refuses groups that are null.
func (a *Assignment) UnmarshalJSON(text []byte) error {
	type plain Assignment
	var read plain
	if err := json.Unmarshal(text, &read); err != nil {
		return err
	}
	if slices.Contains(read.Groups, nil) {
		return errNullGroup
	}
	*a = Assignment(read)
	return nil
}

var errNullGroup = errors.New("the assignment holds a group that is null")

// Clone returns a deep copy of a.
func (a *Assignment) Clone() *Assignment {
	c := *a
	c.Warm = slices.Clone(a.Warm)
	c.Groups = make([]*Group, len(a.Groups))
	for i, g := range a.Groups {
		c.Groups[i] = g.clone()
	}
	return &c
}

// Check returns an error if a VM is in two groups, a group lists a VM twice or two groups have the same id.
func (a *Assignment) Check() error {
	vms := make(map[string]string)
	ids := make(map[string]bool)
	for _, g := range a.Groups {
		if ids[g.ID] {
			return fmt.Errorf("domain %s generation %d: group id %s is used twice", a.Domain, a.Generation, g.ID)
		}
		ids[g.ID] = true
		for _, vm := range g.VMs {
			if other, taken := vms[vm]; taken {
				return fmt.Errorf("domain %s generation %d: VM %s is in group %s and in %s", a.Domain, a.Generation, vm, other, g.ID)
			}
			vms[vm] = g.ID
		}
	}
	return nil
}

// Group returns the group with the given id, or nil.
func (a *Assignment) Group(id string) *Group {
	i := slices.IndexFunc(a.Groups, func(g *Group) bool { return g.ID == id })
	if i < 0 {
		return nil
	}
	return a.Groups[i]
}

// GroupOf returns the group that contains vm, or nil.
func (a *Assignment) GroupOf(vm string) *Group {
	i := slices.IndexFunc(a.Groups, func(g *Group) bool { return slices.Contains(g.VMs, vm) })
	if i < 0 {
		return nil
	}
	return a.Groups[i]
}

func (a *Assignment) remove(id string) {
	a.Groups = slices.DeleteFunc(a.Groups, func(g *Group) bool { return g.ID == id })
}
