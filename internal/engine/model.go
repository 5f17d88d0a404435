package engine

import (
	"math"
	"time"
)

const (
	// objectivePart is the part of the objective that the predicted mean time to the first event of a large prompt may
	// take. The rest is for what the figures leave out, 10 to 20 ms by the logs of a fleet of 71 nodes, and for passes that
	// happen to read several prompts. Groups given by it answered 79 in 100 long prompts within 300 ms where counting
	// places had left 71.
	objectivePart = 2.0 / 3
	// leastBusy is the part of its time that a group may read prompts though large ones are late even at an idle group: more
	// groups would not help those, and the others are in time.
	leastBusy = 0.3
	// searchSteps of bisection find a rate within a thousandth.
	searchSteps = 10
)

// Model predicts one replica group of a model.
type Model struct {
	Figures Figures
	Pace    float64 // factor on all times; 0 counts as 1
	Writers float64 // requests that it writes at the same time
}

func (m *Model) pace() float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}

// FirstEvent returns the mean time until the first event of a prompt of that many tokens, at a group that gets that mix;
// it has no bound where the group cannot read prompts as fast as they come.
func (m *Model) FirstEvent(tokens float64, mix Mix) time.Duration {
	seconds := m.firstEvent(tokens, mix)
	if math.IsInf(seconds, 1) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

func (m *Model) firstEvent(tokens float64, mix Mix) float64 {
	busy := m.Reading(mix)
	if busy >= 1 {
		return math.Inf(1)
	}
	write := m.pace() * m.Figures.Write(m.Writers, mix.mean())
	pass := write / (1 - busy)
	// The pass under way: half of the mean one, and more because one meets a long pass more often than a short one.
	perToken := m.pace() / m.Figures.ReadPerSecond
	rest := pass/2 + mix.Squares*perToken*perToken/2
	own := write + m.pace()*m.Figures.Read(tokens) + busy*pass
	return rest + own
}

// Reading returns the part of its time that a group which gets that mix reads prompts.
func (m *Model) Reading(mix Mix) float64 {
	if mix.Tokens <= 0 {
		return 0
	}
	return m.pace() * m.Figures.readAll(mix.Tokens, mix.Squares)
}

// Bears returns how many requests a second of that mix one group can take within the objective: the rate at which the
// first event of a large prompt is predicted to take two thirds of it, and no less than one at which the group reads for
// three tenths of its time. It reports false where nothing can be predicted.
func (m *Model) Bears(mix Mix) (perSecond float64, predicted bool) {
	if !m.Figures.Known() || mix.PerSecond <= 0 || mix.Tokens <= 0 || mix.Objective <= 0 {
		return 0, false
	}
	most := mix.PerSecond / m.Reading(mix) // it reads all the time
	allowed := objectivePart * mix.Objective.Seconds()
	low, high := leastBusy, 1.0
	for range searchSteps {
		part := (low + high) / 2
		if m.firstEvent(mix.large(), mix.scaled(part*most)) <= allowed {
			low = part
		} else {
			high = part
		}
	}
	return low * most, true
}

// Marginal returns how much later the first event of a mean prompt comes at a group that gets that mix for each request
// that it runs more than now, of which there are that many: more requests at a time are more prompts to read.
func (m *Model) Marginal(mix Mix, running float64) time.Duration {
	if !m.Figures.Known() || mix.PerSecond <= 0 || running <= 0 {
		return 0
	}
	more := mix.scaled(mix.PerSecond * (1 + 1/running))
	if m.Reading(more) >= 1 {
		return math.MaxInt64
	}
	return time.Duration((m.firstEvent(mix.mean(), more) - m.firstEvent(mix.mean(), mix)) * float64(time.Second))
}
