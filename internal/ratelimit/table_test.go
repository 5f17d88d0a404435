package ratelimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/ratelimit"
)

var origin = time.Unix(1000, 0)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

func TestLimitHoldsAsLongAsAnswersNameIt(t *testing.T) {
	table := ratelimit.NewTable()
	var told []ratelimit.Limit
	table.Changed = func(_ string, l ratelimit.Limit) { told = append(told, l) }
	two := ratelimit.Limit{PerSecond: 2, Named: true}
	table.Said("a", ratelimit.Limit{}, at(0), at(0))
	qt.Check(t, table.Named(), qt.Equals, 0)
	table.Said("a", two, at(1), at(2))
	table.Said("a", two, at(2), at(3))
	qt.Check(t, table.Limit("a"), qt.Equals, two)
	table.Said("a", ratelimit.Limit{}, at(2.5), at(4))
	qt.Check(t, table.Limit("a"), qt.Equals, two, qt.Commentf("the answer may be older than the limit"))
	table.Said("a", ratelimit.Limit{}, at(3.5), at(5))
	qt.Check(t, table.Limit("a"), qt.Equals, ratelimit.Limit{})
	qt.Check(t, table.Named(), qt.Equals, 0)
	qt.Check(t, told, qt.DeepEquals, []ratelimit.Limit{two, {}})
}

func TestLimitOfAnEndpointThatSaysNothingMoreIsForgotten(t *testing.T) {
	table := ratelimit.NewTable()
	table.Said("a", ratelimit.Limit{PerSecond: 2, Named: true}, at(0), at(0))
	table.Sweep(at(59))
	qt.Check(t, table.Named(), qt.Equals, 1)
	table.Sweep(at(61))
	qt.Check(t, table.Named(), qt.Equals, 0)
}
