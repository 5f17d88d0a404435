// Package shares divides places among workspaces by weighted max-min fairness.
package shares

import (
	"cmp"
	"slices"
)

// MaxMin divides capacity places and returns the number of each workspace, in the order of the demands. No
// workspace gets more than it demands, no place is left over while one demands more, and no workspace gets more
// in proportion to its share while another whose demand is not met has less. Each place goes to the workspace
// with the fewest places in proportion to its share; on a tie, to the one with the lower index.
func MaxMin(capacity int, demands []Demand) []int {
	out := make([]int, len(demands))
	remaining := capacity
	order := make([]int, 0, len(demands))
	weight := 0
	for i, w := range demands {
		if w.Places > 0 {
			order = append(order, i)
			weight += max(1, w.Share)
		}
	}
	// The smallest demands in proportion to their share are met first.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].Places*max(1, demands[b].Share), demands[b].Places*max(1, demands[a].Share))
	})
	for n, i := range order {
		share := max(1, demands[i].Share)
		if demands[i].Places*weight <= remaining*share {
			out[i] = demands[i].Places
			remaining -= out[i]
			weight -= share
			continue
		}
		divideRemaining(remaining, weight, order[n:], demands, out)
		return out
	}
	return out
}

// divideRemaining divides the remaining places among workspaces that all demand more than their part, and rounds
// to whole places by the largest remainder method.
func divideRemaining(remaining, weight int, order []int, demands []Demand, out []int) {
	assigned := 0
	for _, i := range order {
		out[i] = remaining * max(1, demands[i].Share) / weight
		assigned += out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ra := remaining * max(1, demands[a].Share) % weight
		rb := remaining * max(1, demands[b].Share) % weight
		if ra != rb {
			return cmp.Compare(rb, ra)
		}
		return cmp.Compare(a, b)
	})
	for _, i := range order[:remaining-assigned] {
		out[i]++
	}
}
