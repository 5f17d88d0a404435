package engine

import "time"

// Mix describes the rate and the prompt lengths of the requests for a model.
type Mix struct {
	PerSecond float64 // requests per second
	Tokens    float64 // prompt tokens per second
	Squares   float64 // sum of the squares of the prompt lengths in tokens, per second
	// Objective is the shortest objective for the time to the first event among the requests; zero if they have none.
	Objective time.Duration
}

// mean returns the mean prompt length in tokens, or 0 without requests.
func (m *Mix) mean() float64 {
	if m.PerSecond <= 0 {
		return 0
	}
	return m.Tokens / m.PerSecond
}

// tokenWeightedMean returns the length, in tokens, of the prompt that an average token belongs to. It equals the mean prompt length
// if all prompts are equally long, and twice the mean if the standard deviation of their lengths equals the mean.
func (m *Mix) tokenWeightedMean() float64 { return m.Squares / m.Tokens }

// Add adds the requests of another mix, such as that of another node.
func (m *Mix) Add(other Mix) {
	m.PerSecond += other.PerSecond
	m.Tokens += other.Tokens
	m.Squares += other.Squares
	m.Objective = tightest(m.Objective, other.Objective)
}

// Part returns the mix divided by the number of parts; the zero Mix if there are no parts or no requests.
func (m *Mix) Part(of int) Mix {
	if of <= 0 || m.PerSecond <= 0 {
		return Mix{}
	}
	return m.scaled(m.PerSecond / float64(of))
}

// scaled returns the mix at another rate, in requests per second. m.PerSecond must not be zero.
func (m *Mix) scaled(perSecond float64) Mix {
	factor := perSecond / m.PerSecond
	return Mix{PerSecond: perSecond, Tokens: m.Tokens * factor, Squares: m.Squares * factor, Objective: m.Objective}
}

// Minus returns the mix without the requests of another mix that was added to it. The objective is kept.
func (m *Mix) Minus(other Mix) Mix {
	return Mix{
		PerSecond: max(0, m.PerSecond-other.PerSecond), Tokens: max(0, m.Tokens-other.Tokens),
		Squares: max(0, m.Squares-other.Squares), Objective: m.Objective,
	}
}

// tightest returns the shorter of two objectives; zero stands for none.
func tightest(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
