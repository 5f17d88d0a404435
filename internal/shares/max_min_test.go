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
		wants    []shares.Want
		expect   []int
	}{
		{"three to one, both waiting", 16, []shares.Want{{3, 100}, {1, 100}}, []int{12, 4}},
		{"an idle share is lent whole", 16, []shares.Want{{3, 0}, {1, 100}}, []int{0, 16}},
		{"a small want is met first", 16, []shares.Want{{3, 2}, {1, 100}, {1, 100}}, []int{2, 7, 7}},
		{"nothing to divide", 0, []shares.Want{{1, 5}}, []int{0}},
		{"more places than wants", 10, []shares.Want{{1, 3}, {1, 2}}, []int{3, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, shares.MaxMin(c.capacity, c.wants), qt.DeepEquals, c.expect)
		})
	}
}

func TestMaxMinIsFairAndWastesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 200).Draw(t, "capacity")
		wants := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) shares.Want {
			return shares.Want{Share: rapid.IntRange(1, 9).Draw(t, "share"), Places: rapid.IntRange(0, 80).Draw(t, "places")}
		}), 0, 8).Draw(t, "wants")
		got := shares.MaxMin(capacity, wants)
		total, wanted := 0, 0
		for i, w := range wants {
			total += got[i]
			wanted += w.Places
			if got[i] < 0 || got[i] > w.Places {
				t.Fatalf("%d places for a want of %d", got[i], w.Places)
			}
		}
		if total != min(capacity, wanted) {
			t.Fatalf("%d places given of %d, %d wanted", total, capacity, wanted)
		}
		for i := range wants {
			for j := range wants {
				// i waits for more while j, with one place less, would still have more for its share.
				if got[i] < wants[i].Places && (got[j]-1)*wants[i].Share > (got[i]+1)*wants[j].Share {
					t.Fatalf("%v of %v is unfair between %d and %d", got, wants, i, j)
				}
			}
		}
	})
}
