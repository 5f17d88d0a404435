package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/engine"
)

// unread returns the load of a group with running requests, of which some have unread prompts of the given length in tokens.
func unread(running, prompts int, tokens float64) engine.GroupLoad {
	n := float64(prompts)
	return engine.GroupLoad{Running: running, UnreadTokens: n * tokens, UnreadSquares: n * tokens * tokens}
}

func TestFirstEventWaitsForThePassAndUnreadPrompts(t *testing.T) {
	m := engine.Model{Figures: figures}
	// A pass of 42 ms and 20 ms more to read 1,000 tokens; no pass is under way at an idle group.
	checkClose(t, m.FirstEventAt(engine.GroupLoad{}, 1000), 62*time.Millisecond)
	checkClose(t, m.FirstEventAt(unread(10, 0, 0), 1000), (21+62)*time.Millisecond)
	checkClose(t, m.FirstEventAt(unread(10, 3, 500), 1000), (21+30+62)*time.Millisecond)
	m.Pace = 0.5
	checkClose(t, m.FirstEventAt(unread(10, 3, 500), 1000), 56500*time.Microsecond)
}

func TestFirstEventAtFullGroupWaitsForAnEnd(t *testing.T) {
	m := engine.Model{Figures: figures, Slots: 30}
	checkClose(t, m.FirstEventAt(unread(29, 0, 0), 1000), 83*time.Millisecond)
	checkClose(t, m.FirstEventAt(unread(30, 0, 0), 1000), (83+42)*time.Millisecond)
	m.Passes = 60 // one of 30 requests ends every second pass
	checkClose(t, m.FirstEventAt(unread(31, 0, 0), 1000), (83+2*2*42)*time.Millisecond)
}

func TestGapIsAPassThatReadsAllUnreadPrompts(t *testing.T) {
	m := engine.Model{Figures: figures}
	checkClose(t, m.GapAt(unread(10, 0, 0)), 42*time.Millisecond)
	checkClose(t, m.GapAt(unread(10, 3, 1000)), (42+60)*time.Millisecond)
	m.Figures.PairsPerM, m.Figures.PerWriter, m.Figures.ContextPerK, m.Context = 2*time.Millisecond, 100*time.Microsecond, 10*time.Microsecond, 2000
	// Three million pairs per two prompts take 2 ms each; ten writers add 7 ms, and their context 1.4 ms.
	checkClose(t, m.GapAt(unread(10, 2, 1000)), (42+40+2+7)*time.Millisecond+1400*time.Microsecond)
}

func TestGroupLoadWithoutFiguresPredictsNothing(t *testing.T) {
	m := engine.Model{Slots: 30}
	qt.Check(t, m.FirstEventAt(unread(31, 3, 1000), 1000), qt.Equals, time.Duration(0))
	qt.Check(t, m.GapAt(unread(31, 3, 1000)), qt.Equals, time.Duration(0))
}

// TestFirstEventAtSteadyLoadMatchesTheMix guards against counting unread prompts twice or not at all: of a steady rate of
// arrivals, a request finds unread the prompts of one pass that are being read and those of half a pass that wait.
func TestFirstEventAtSteadyLoadMatchesTheMix(t *testing.T) {
	const tokens = 20 // so short that random lengths of passes do not matter
	m := engine.Model{Figures: figures}
	for _, perSecond := range []float64{250, 1000, 1500} {
		mix := uniformMix(perSecond, tokens)
		pass := 0.042 / (1 - m.ReadingFraction(mix))
		load := engine.GroupLoad{Running: 10, UnreadTokens: 1.5 * pass * mix.Tokens, UnreadSquares: 1.5 * pass * mix.Squares}
		checkClose(t, m.FirstEventAt(load, tokens), m.FirstEvent(tokens, mix))
	}
}

func TestMoreLoadNeverPredictsAnEarlierEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := engine.Model{
			Figures: figures, Pace: rapid.Float64Range(0.3, 2).Draw(t, "pace"), Slots: rapid.IntRange(0, 40).Draw(t, "slots"),
			Passes: rapid.Float64Range(0, 90).Draw(t, "passes"), Context: rapid.Float64Range(0, 4000).Draw(t, "context"),
		}
		m.Figures.PerWriter, m.Figures.ContextPerK, m.Figures.PairsPerM = 100*time.Microsecond, 10*time.Microsecond, time.Millisecond
		running, prompts := rapid.IntRange(0, 60).Draw(t, "running"), rapid.IntRange(0, 20).Draw(t, "prompts")
		tokens := rapid.Float64Range(0, 6000).Draw(t, "tokens")
		base := unread(running, prompts, tokens)
		for _, more := range []engine.GroupLoad{unread(running+1, prompts, tokens), unread(running, prompts+1, tokens), unread(running, prompts, tokens+1)} {
			if m.FirstEventAt(more, tokens) < m.FirstEventAt(base, tokens) || m.GapAt(more) < m.GapAt(base) {
				t.Fatalf("%+v is predicted to be faster than %+v", more, base)
			}
		}
		if m.FirstEventAt(base, tokens+1) < m.FirstEventAt(base, tokens) {
			t.Fatalf("a longer prompt is predicted to be answered earlier")
		}
	})
}
