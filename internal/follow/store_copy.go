package follow

import (
	"bytes"
	"slices"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
)

// cameFromCopy reports whether the store has come back from a copy since objects that this node holds were read.
func (s *source) cameFromCopy(listed int64) bool {
	return slices.ContainsFunc(s.mirror.List(s.prefix), func(o infra.Object) bool {
		return infra.EraOf(Version(o)) < infra.EraOf(listed)
	})
}

// holdStale holds back those of the listed objects that may be older than what this node had read before the store came back from a
// copy, and returns the others.
func (s *source) holdStale(listed []infra.Object) []infra.Object {
	s.held.start(clock.Now(), storeFromCopy)
	var fresh []infra.Object
	for _, o := range listed {
		if s.isFresh(o) {
			fresh = append(fresh, o)
			continue
		}
		s.held.add(withMirrorVersion(o))
	}
	return fresh
}

// isFresh reports whether a listed object is what this node holds, or was certainly written later.
func (s *source) isFresh(o infra.Object) bool {
	held, known := s.mirror.Get(o.Key)
	return known && !o.Deleted && isSameOrLater(o.Version, Version(held), o, held, s.supersedes)
}

// isSameOrLater reports whether an object read after the store came back from a copy is what was held before, or was certainly written
// later. Revisions that are given out again are lower than those before, or belong to writes since.
func isSameOrLater(version, heldVersion int64, o, held infra.Object, supersedes func(listed, held infra.Object) bool) bool {
	if bytes.Equal(held.Value, o.Value) || infra.RevisionOf(version) > infra.RevisionOf(heldVersion) {
		return true
	}
	return supersedes != nil && supersedes(o, held)
}
