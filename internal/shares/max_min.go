// Package shares divides places among workspaces by weighted max-min fairness.
package shares

import (
	"cmp"
	"slices"
)

// MaxMin divides capacity places. Nobody gets more than it wants, nothing is left over while someone
// wants more, and no workspace gets more for its share while another that wants places has less.
// Each place goes to the one with the fewest places for its share; ties go to the lower index.
func MaxMin(capacity int, wants []Want) []int {
	out := make([]int, len(wants))
	left := capacity
	order := make([]int, 0, len(wants))
	weight := 0
	for i, w := range wants {
		if w.Places > 0 {
			order = append(order, i)
			weight += max(1, w.Share)
		}
	}
	// The ones that want least for their share are satisfied first.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(wants[a].Places*max(1, wants[b].Share), wants[b].Places*max(1, wants[a].Share))
	})
	for n, i := range order {
		share := max(1, wants[i].Share)
		if wants[i].Places*weight <= left*share {
			out[i] = wants[i].Places
			left -= out[i]
			weight -= share
			continue
		}
		divide(left, weight, order[n:], wants, out)
		return out
	}
	return out
}

// divide gives the rest to those that all want more than their part, whole places by largest remainder.
func divide(left, weight int, order []int, wants []Want, out []int) {
	given := 0
	for _, i := range order {
		out[i] = left * max(1, wants[i].Share) / weight
		given += out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ra := left * max(1, wants[a].Share) % weight
		rb := left * max(1, wants[b].Share) % weight
		if ra != rb {
			return cmp.Compare(rb, ra)
		}
		return cmp.Compare(a, b)
	})
	for _, i := range order[:left-given] {
		out[i]++
	}
}
