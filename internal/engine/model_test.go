package engine_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/engine"
)

// figures describes an engine that reads 50 tokens per millisecond, writes a token in 6 ms and seven tokens per pass.
var figures = engine.Figures{Step: 6 * time.Millisecond, ReadPerSecond: 50_000, Stride: 7}

// uniformMix returns a mix of prompts of the same length in tokens.
func uniformMix(perSecond, tokens float64) engine.Mix {
	return engine.Mix{PerSecond: perSecond, Tokens: perSecond * tokens, Squares: perSecond * tokens * tokens, Objective: 300 * time.Millisecond}
}

func checkClose(t *testing.T, got, want time.Duration) {
	t.Helper()
	qt.Check(t, math.Abs(float64(got-want)) < float64(time.Millisecond), qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

func TestFirstEventAtAnIdleGroup(t *testing.T) {
	m := engine.Model{Figures: figures}
	// Half of a pass of 42 ms, then a pass of 42 ms and 20 ms more to read 1,000 tokens.
	checkClose(t, m.FirstEvent(1000, engine.Mix{}), 21*time.Millisecond+62*time.Millisecond)
	m.Pace = 0.5
	checkClose(t, m.FirstEvent(1000, engine.Mix{}), 41500*time.Microsecond)
}

func TestFirstEventAtABusyGroup(t *testing.T) {
	m := engine.Model{Figures: figures}
	// Reading 25 prompts per second of 20 ms each takes half of the time, so a pass takes 84 ms. The pass under way has 42 ms left
	// on average, and 5 ms more since requests arrive more often during long passes. The pass that reads the prompt takes 62 ms,
	// and 42 ms more to read other prompts.
	mix := uniformMix(25, 1000)
	qt.Check(t, m.ReadingFraction(mix), qt.Equals, 0.5)
	checkClose(t, m.FirstEvent(1000, mix), (42+5+62+42)*time.Millisecond)
}

func TestFirstEventIsUnboundedAtAnOverloadedGroup(t *testing.T) {
	m := engine.Model{Figures: figures}
	qt.Check(t, m.FirstEvent(10, uniformMix(60, 1000)), qt.Equals, time.Duration(math.MaxInt64))
}

func TestWritersAndPairsAddTime(t *testing.T) {
	f := figures
	f.PerWriter, f.ContextPerK, f.PairsPerM = 100*time.Microsecond, 10*time.Microsecond, time.Millisecond
	qt.Check(t, math.Abs(f.Write(10, 2000)-7*(0.006+0.001+0.0002)) < 1e-9, qt.IsTrue)
	qt.Check(t, math.Abs(f.Read(2000)-(0.04+0.002)) < 1e-9, qt.IsTrue)
}

func TestNothingIsPredictedWithoutFigures(t *testing.T) {
	for name, m := range map[string]engine.Model{"without figures": {}, "with figures": {Figures: figures}} {
		_, predicted := m.Capacity(engine.Mix{})
		qt.Check(t, predicted, qt.IsFalse, qt.Commentf(name))
	}
	m := engine.Model{}
	_, predicted := m.Capacity(uniformMix(10, 1000))
	qt.Check(t, predicted, qt.IsFalse)
}

func TestMixesAddUp(t *testing.T) {
	sum := uniformMix(10, 1000)
	other := uniformMix(5, 2000)
	other.Objective = 200 * time.Millisecond
	sum.Add(other)
	qt.Check(t, sum, qt.Equals, engine.Mix{PerSecond: 15, Tokens: 20_000, Squares: 30e6, Objective: 200 * time.Millisecond})
	left := sum.Minus(other)
	qt.Check(t, left, qt.Equals, engine.Mix{PerSecond: 10, Tokens: 10_000, Squares: 10e6, Objective: 200 * time.Millisecond})
}

// TestGroupCapacity checks that at the predicted capacity the first event of a large prompt takes at most two thirds of the
// objective, and that the capacity falls with longer prompts and with a shorter objective.
func TestGroupCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := engine.Model{Figures: figures, Pace: rapid.Float64Range(0.3, 2).Draw(t, "pace"), Writers: rapid.Float64Range(0, 40).Draw(t, "writers")}
		tokens := rapid.Float64Range(50, 6000).Draw(t, "tokens")
		mix := uniformMix(rapid.Float64Range(0.1, 500).Draw(t, "rate"), tokens)
		mix.Objective = time.Duration(rapid.IntRange(20, 2000).Draw(t, "objective ms")) * time.Millisecond
		capacity, predicted := m.Capacity(mix)
		if !predicted || capacity < 0 {
			t.Fatalf("capacity %v, predicted %v", capacity, predicted)
		}
		at := uniformMix(capacity, tokens)
		if m.ReadingFraction(at) > 0.301 && m.FirstEvent(tokens, at) > mix.Objective*2/3+time.Millisecond {
			t.Fatalf("capacity of %v requests per second with the first event after %v; objective %v", capacity, m.FirstEvent(tokens, at), mix.Objective)
		}
		tighter := mix
		tighter.Objective = mix.Objective * 3 / 4
		if fewer, _ := m.Capacity(tighter); fewer > capacity {
			t.Fatalf("capacity %v with objective %v, but %v with objective %v", fewer, tighter.Objective, capacity, mix.Objective)
		}
		longer := uniformMix(mix.PerSecond, 2*tokens)
		longer.Objective = mix.Objective
		if fewer, _ := m.Capacity(longer); fewer > capacity {
			t.Fatalf("capacity %v with prompts of %v tokens, but %v with %v tokens", fewer, 2*tokens, capacity, tokens)
		}
	})
}

func TestMarginalDelayGrowsWithTheRate(t *testing.T) {
	m := engine.Model{Figures: figures}
	few, many := m.MarginalDelay(uniformMix(10, 1000), 10), m.MarginalDelay(uniformMix(30, 1000), 10)
	qt.Check(t, 0 < few && few < many, qt.IsTrue, qt.Commentf("%v at a low rate, %v at a high rate", few, many))
	qt.Check(t, m.MarginalDelay(engine.Mix{}, 0), qt.Equals, time.Duration(0))
	qt.Check(t, m.MarginalDelay(uniformMix(48, 1000), 10), qt.Equals, time.Duration(math.MaxInt64), qt.Commentf("with one more request the group cannot read prompts as fast as they arrive"))
	part := uniformMix(40, 1000)
	qt.Check(t, part.Part(4), qt.Equals, uniformMix(10, 1000))
}
