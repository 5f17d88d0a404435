package config

import (
	"cmp"
	"maps"
	"slices"
)

// Set holds parts by name: those of a whole configuration, or those that an operator applies.
type Set map[string]Part

// Merge returns a copy of s in which the parts of changes are added or replaced and the removed ones are left out.
func (s Set) Merge(changes Set, removed []string) Set {
	out := maps.Clone(s)
	if out == nil {
		out = make(Set, len(changes))
	}
	maps.Copy(out, changes)
	for _, name := range removed {
		delete(out, name)
	}
	return out
}

// Names returns the part names in alphabetical order.
func (s Set) Names() []string { return sortedKeys(s) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
