package config

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a whole configuration or the part of one that an operator applies, by part name.
type Set map[string]Part

// Merge returns s with the parts of changes put over it and the removed ones left out.
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

// Names returns the part names in order.
func (s Set) Names() []string { return sortedKeys(s) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
