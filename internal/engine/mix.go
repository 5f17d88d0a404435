package engine

import "time"

// Mix says what the requests are like that a model gets, over all nodes.
type Mix struct {
	PerSecond float64 // requests
	Tokens    float64 // of their prompts, a second
	Squares   float64 // sum of the squared tokens of each prompt, a second
	// Objective is the tightest time to the first event among them; zero if they have none.
	Objective time.Duration
}

// mean returns the tokens of a prompt, or 0 if there are none.
func (m *Mix) mean() float64 {
	if m.PerSecond <= 0 {
		return 0
	}
	return m.Tokens / m.PerSecond
}

// large returns the tokens of the prompt that a token of the load is in on average. It is the mean prompt if all are
// alike, and twice that if they vary as much as their mean.
func (m *Mix) large() float64 { return m.Squares / m.Tokens }

// Add counts in the requests of another node.
func (m *Mix) Add(other Mix) {
	m.PerSecond += other.PerSecond
	m.Tokens += other.Tokens
	m.Squares += other.Squares
	m.Objective = tightest(m.Objective, other.Objective)
}

// Part returns one of that many equal parts of the mix.
func (m *Mix) Part(of int) Mix {
	if of <= 0 || m.PerSecond <= 0 {
		return Mix{}
	}
	return m.scaled(m.PerSecond / float64(of))
}

// scaled returns the mix at another rate.
func (m *Mix) scaled(perSecond float64) Mix {
	factor := perSecond / m.PerSecond
	return Mix{PerSecond: perSecond, Tokens: m.Tokens * factor, Squares: m.Squares * factor, Objective: m.Objective}
}

// Less returns the mix without the requests of a node that were counted in. The objective stays.
func (m *Mix) Less(other Mix) Mix {
	return Mix{
		PerSecond: max(0, m.PerSecond-other.PerSecond), Tokens: max(0, m.Tokens-other.Tokens),
		Squares: max(0, m.Squares-other.Squares), Objective: m.Objective,
	}
}

// tightest returns the shorter of two objectives, of which either may be zero for none.
func tightest(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
