package engine

import (
	"math"
	"time"
)

const (
	// objectiveFraction is the fraction of the objective that the predicted mean time to the first event of a large prompt may
	// take. The rest allows for times that the figures omit, 10 to 20 ms by the logs of a fleet of 71 nodes, and for passes that
	// happen to read several prompts. With groups allocated by this rule 79% of long prompts were answered within 300 ms, and
	// 71% with groups allocated by the number of places.
	objectiveFraction = 2.0 / 3
	// minReadingFraction is the fraction of its time for which a group may read prompts even if large prompts are then late. They
	// would be late at an idle group too, so more groups would not help them, and other prompts are in time.
	minReadingFraction = 0.3
	// searchSteps is the number of bisection steps, enough to find a rate to within a thousandth.
	searchSteps = 10
)

// Model predicts the performance of one replica group that runs a model.
type Model struct {
	Figures Figures
	Pace    float64 // factor on all times; 0 means 1
	Writers float64 // requests that the group writes at the same time
	// Slots, Passes and Context describe the requests for FirstEventAt and GapAt. Each is zero if unknown.
	Slots   int     // most requests that the group runs at once
	Passes  float64 // mean number of passes that write a request
	Context float64 // mean context of a request that is being written, in tokens
}

func (m *Model) pace() float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}

// FirstEvent returns the mean time to the first event of a prompt of the given length in tokens, at a group that gets the given
// mix. It returns the maximum duration if the group cannot read prompts as fast as they arrive.
func (m *Model) FirstEvent(tokens float64, mix Mix) time.Duration {
	seconds := m.firstEvent(tokens, mix)
	if math.IsInf(seconds, 1) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

func (m *Model) firstEvent(tokens float64, mix Mix) float64 {
	reading := m.ReadingFraction(mix)
	if reading >= 1 {
		return math.Inf(1)
	}
	write := m.pace() * m.Figures.Write(m.Writers, mix.mean())
	pass := write / (1 - reading)
	// The remaining time of the pass under way: half of the mean pass, and more because a request is more likely to arrive during
	// a long pass than during a short one.
	perToken := m.pace() / m.Figures.ReadPerSecond
	remaining := pass/2 + mix.Squares*perToken*perToken/2
	own := write + m.pace()*m.Figures.Read(tokens) + reading*pass
	return remaining + own
}

// ReadingFraction returns the fraction of its time that a group spends on reading prompts when it gets the given mix. A value
// above 1 means that it cannot keep up.
func (m *Model) ReadingFraction(mix Mix) float64 {
	if mix.Tokens <= 0 {
		return 0
	}
	return m.pace() * m.Figures.readAll(mix.Tokens, mix.Squares)
}

// Capacity returns how many requests per second of the given mix one group can take within the objective: the rate at which the
// first event of a large prompt is predicted to take two thirds of the objective, but at least the rate at which the group
// reads prompts for three tenths of its time. predicted is false if nothing can be predicted.
func (m *Model) Capacity(mix Mix) (perSecond float64, predicted bool) {
	if !m.Figures.Known() || mix.PerSecond <= 0 || mix.Tokens <= 0 || mix.Objective <= 0 {
		return 0, false
	}
	saturation := mix.PerSecond / m.ReadingFraction(mix) // the rate at which the group reads all the time
	allowed := objectiveFraction * mix.Objective.Seconds()
	low, high := minReadingFraction, 1.0
	for range searchSteps {
		fraction := (low + high) / 2
		if m.firstEvent(mix.tokenWeightedMean(), mix.scaled(fraction*saturation)) <= allowed {
			low = fraction
		} else {
			high = fraction
		}
	}
	return low * saturation, true
}

// MarginalDelay returns by how much one more running request delays the first event of a mean prompt at a group that gets the
// given mix and runs the given number of requests. The arrival rate is taken to grow in proportion to the running requests.
func (m *Model) MarginalDelay(mix Mix, running float64) time.Duration {
	if !m.Figures.Known() || mix.PerSecond <= 0 || running <= 0 {
		return 0
	}
	increased := mix.scaled(mix.PerSecond * (1 + 1/running))
	if m.ReadingFraction(increased) >= 1 {
		return math.MaxInt64
	}
	return time.Duration((m.firstEvent(mix.mean(), increased) - m.firstEvent(mix.mean(), mix)) * float64(time.Second))
}
