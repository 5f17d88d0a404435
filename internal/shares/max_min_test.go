package shares_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "moorrun.dev/moorrun/internal/rapidseed"
	"moorrun.dev/moorrun/internal/shares"
)

func TestMaxMinExamples(t *testing.T) {
	cases := []struct {
		name     string
		capacity int
		demands  []shares.Demand
		expect   []int
	}{
		{"shares 3 and 1, both demand more than capacity", 16, []shares.Demand{{3, 100}, {1, 100}}, []int{12, 4}},
		{"all places of an idle workspace are lent", 16, []shares.Demand{{3, 0}, {1, 100}}, []int{0, 16}},
		{"a small demand is met in full", 16, []shares.Demand{{3, 2}, {1, 100}, {1, 100}}, []int{2, 7, 7}},
		{"no capacity", 0, []shares.Demand{{1, 5}}, []int{0}},
		{"more capacity than demand", 10, []shares.Demand{{1, 3}, {1, 2}}, []int{3, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, shares.MaxMin(c.capacity, c.demands), qt.DeepEquals, c.expect)
		})
	}
}

func TestMaxMinIsFairAndAssignsAllWantedPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 200).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) shares.Demand {
			return shares.Demand{Share: rapid.IntRange(1, 9).Draw(t, "share"), Places: rapid.IntRange(0, 80).Draw(t, "places")}
		}), 0, 8).Draw(t, "wants")
		got := shares.MaxMin(capacity, demands)
		total, wanted := 0, 0
		for i, w := range demands {
			total += got[i]
			wanted += w.Places
			if got[i] < 0 || got[i] > w.Places {
				t.Fatalf("%d places assigned for a demand of %d", got[i], w.Places)
			}
		}
		if total != min(capacity, wanted) {
			t.Fatalf("%d of %d places assigned, %d demanded", total, capacity, wanted)
		}
		for i := range demands {
			for j := range demands {
				// The demand of i is not met, although j would keep more in proportion to its share after giving i a place.
				if got[i] < demands[i].Places && (got[j]-1)*demands[i].Share > (got[i]+1)*demands[j].Share {
					t.Fatalf("division %v of demands %v is unfair between workspaces %d and %d", got, demands, i, j)
				}
			}
		}
	})
}
