package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by rendezvous hashing on purpose and VM. Nodes with the same members compute the same order,
// and adding or removing a member does not change the relative order of the others.
func Rank(purpose string, members []Member) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{xxhash.Sum64String(purpose + "\x00" + m.VM), m}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.member.VM, b.member.VM)
	})
	out := make([]Member, len(list))
	for i := range list {
		out[i] = list[i].member
	}
	return out
}
