package engine_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/engine"
)

// figures read 50 tokens in a millisecond, write a token in 6 ms, and seven of them a pass.
var figures = engine.Figures{Step: 6 * time.Millisecond, ReadPerSecond: 50_000, Stride: 7}

// alike is a mix of prompts of one length.
func alike(perSecond, tokens float64) engine.Mix {
	return engine.Mix{PerSecond: perSecond, Tokens: perSecond * tokens, Squares: perSecond * tokens * tokens, Objective: 300 * time.Millisecond}
}

func near(t *testing.T, got, want time.Duration) {
	t.Helper()
	qt.Check(t, math.Abs(float64(got-want)) < float64(time.Millisecond), qt.IsTrue, qt.Commentf("%v, not %v", got, want))
}

func TestIdleGroupsFirstEvent(t *testing.T) {
	m := engine.Model{Figures: figures}
	// Half of a pass of 42 ms, then one that reads 1,000 tokens in 20 ms.
	near(t, m.FirstEvent(1000, engine.Mix{}), 21*time.Millisecond+62*time.Millisecond)
	m.Pace = 0.5
	near(t, m.FirstEvent(1000, engine.Mix{}), 41500*time.Microsecond)
}

func TestBusyGroupsFirstEvent(t *testing.T) {
	m := engine.Model{Figures: figures}
	// 25 prompts of 20 ms a second take half of the time: a pass takes 84 ms. Of the one under way are left 42 ms and, for
	// long ones are met more often, 5; the own one takes 62 ms and reads 42 ms of others.
	mix := alike(25, 1000)
	qt.Check(t, m.Reading(mix), qt.Equals, 0.5)
	near(t, m.FirstEvent(1000, mix), (42+5+62+42)*time.Millisecond)
}

func TestGroupThatCannotReadFastEnoughNeverAnswers(t *testing.T) {
	m := engine.Model{Figures: figures}
	qt.Check(t, m.FirstEvent(10, alike(60, 1000)), qt.Equals, time.Duration(math.MaxInt64))
}

func TestWritersAndPairsTakeTime(t *testing.T) {
	f := figures
	f.PerWriter, f.ContextPerK, f.PairsPerM = 100*time.Microsecond, 10*time.Microsecond, time.Millisecond
	qt.Check(t, math.Abs(f.Write(10, 2000)-7*(0.006+0.001+0.0002)) < 1e-9, qt.IsTrue)
	qt.Check(t, math.Abs(f.Read(2000)-(0.04+0.002)) < 1e-9, qt.IsTrue)
}

func TestNothingIsPredictedWithoutFigures(t *testing.T) {
	for name, m := range map[string]engine.Model{"no figures": {}, "known": {Figures: figures}} {
		_, predicted := m.Bears(engine.Mix{})
		qt.Check(t, predicted, qt.IsFalse, qt.Commentf(name))
	}
	m := engine.Model{}
	_, predicted := m.Bears(alike(10, 1000))
	qt.Check(t, predicted, qt.IsFalse)
}

func TestMixesAddUp(t *testing.T) {
	sum := alike(10, 1000)
	other := alike(5, 2000)
	other.Objective = 200 * time.Millisecond
	sum.Add(other)
	qt.Check(t, sum, qt.Equals, engine.Mix{PerSecond: 15, Tokens: 20_000, Squares: 30e6, Objective: 200 * time.Millisecond})
	left := sum.Less(other)
	qt.Check(t, left, qt.Equals, engine.Mix{PerSecond: 10, Tokens: 10_000, Squares: 10e6, Objective: 200 * time.Millisecond})
}

// TestWhatAGroupBears checks that a rate is found at which a large prompt takes two thirds of its objective, and that a
// group bears fewer requests the longer their prompts or the tighter their objective.
func TestWhatAGroupBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := engine.Model{Figures: figures, Pace: rapid.Float64Range(0.3, 2).Draw(t, "pace"), Writers: rapid.Float64Range(0, 40).Draw(t, "writers")}
		tokens := rapid.Float64Range(50, 6000).Draw(t, "tokens")
		mix := alike(rapid.Float64Range(0.1, 500).Draw(t, "rate"), tokens)
		mix.Objective = time.Duration(rapid.IntRange(20, 2000).Draw(t, "objective ms")) * time.Millisecond
		bears, predicted := m.Bears(mix)
		if !predicted || bears < 0 {
			t.Fatalf("%v, %v", bears, predicted)
		}
		at := alike(bears, tokens)
		if m.Reading(at) > 0.301 && m.FirstEvent(tokens, at) > mix.Objective*2/3+time.Millisecond {
			t.Fatalf("bears %v a second with a first event after %v of %v", bears, m.FirstEvent(tokens, at), mix.Objective)
		}
		tighter := mix
		tighter.Objective = mix.Objective * 3 / 4
		if fewer, _ := m.Bears(tighter); fewer > bears {
			t.Fatalf("%v within %v, %v within %v", fewer, tighter.Objective, bears, mix.Objective)
		}
		longer := alike(mix.PerSecond, 2*tokens)
		longer.Objective = mix.Objective
		if fewer, _ := m.Bears(longer); fewer > bears {
			t.Fatalf("%v prompts of %v tokens, %v of %v", fewer, 2*tokens, bears, tokens)
		}
	})
}

func TestRequestMoreMakesAnswersLater(t *testing.T) {
	m := engine.Model{Figures: figures}
	few, many := m.Marginal(alike(10, 1000), 10), m.Marginal(alike(30, 1000), 10)
	qt.Check(t, 0 < few && few < many, qt.IsTrue, qt.Commentf("%v, %v", few, many))
	qt.Check(t, m.Marginal(engine.Mix{}, 0), qt.Equals, time.Duration(0))
	qt.Check(t, m.Marginal(alike(48, 1000), 10), qt.Equals, time.Duration(math.MaxInt64), qt.Commentf("with one more it cannot read as fast"))
	part := alike(40, 1000)
	qt.Check(t, part.Part(4), qt.Equals, alike(10, 1000))
}
