package picker

import (
	"math"
	"time"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
)

// timeWeight is the cost, in late requests, of a first event that is expected to take as long as the objective. It compares
// groups at which hardly any request would be late by their predicted times.
const timeWeight = 0.1

// prediction is what was predicted, without the correction factor, for a request at a group; zero if nothing was.
type prediction struct {
	firstEvent, gap time.Duration
}

// lossEstimator predicts the loss of service that a request causes at each of the groups that a choice compares.
type lossEstimator struct {
	picker       *Picker
	requirements *Requirements
	others       *gossip.Totals
	now          time.Time

	model        engine.Model
	promptTokens float64
	meanPrompt   float64 // of all requests for the model, in tokens
	sizeBiased   float64 // mean length of the prompt that an average token belongs to
	unreadShare  float64 // share of this node's running requests whose prompts are unread
	countError   float64 // standard deviation of the number of running requests at a group
}

// newLossEstimator returns an estimator for a choice among the given number of groups. It returns false if the figures of the
// engines or the objective of the request are unknown.
func (p *Picker) newLossEstimator(w *Requirements, groups int, others *gossip.Totals, now time.Time) (*lossEstimator, bool) {
	if p.chooseByCount || !w.Engine.Figures.Known() || w.Objective <= 0 {
		return nil, false
	}
	e := &lossEstimator{picker: p, requirements: w, others: others, now: now, model: w.Engine, promptTokens: p.promptTokens(w, now)}
	if mix := others.Demands[w.Model].Plus(p.demandOf(w.Model, now)).Mix; mix.PerSecond > 0 && mix.Tokens > 0 {
		e.meanPrompt, e.sizeBiased = mix.Tokens/mix.PerSecond, mix.Squares/mix.Tokens
		// Requests that began or ended since the last reports; each number has a Poisson distribution.
		e.countError = math.Sqrt(2 * mix.PerSecond / float64(max(1, groups)) * reportAge.Seconds())
	}
	if running := p.runningByModel[w.Model]; running > 0 {
		e.unreadShare = float64(p.unreadByModel[w.Model]) / float64(running)
	}
	e.model.Slots, e.model.Context = w.Slots, e.meanPrompt
	return e, true
}

// groupLoad returns the work of a group as far as this node knows it. Nodes that do not report their unread prompts are taken to
// have as large a share of them as this node, each of the mean length.
func (e *lossEstimator) groupLoad(c *candidate) engine.GroupLoad {
	var own unread
	if h := e.picker.health[c.group]; h != nil {
		own = h.unread
	}
	elsewhere := float64(e.others.Unread.At(c.endpoint.ID))
	if e.others.Unread == nil {
		elsewhere = e.unreadShare * e.meanPrompt * float64(e.others.Loads.At(c.endpoint.ID))
	}
	unreported := e.picker.unreported(c.group, e.others, e.now)
	elsewhere += unreported * e.meanPrompt
	return engine.GroupLoad{
		Running: c.load + int(unreported), UnreadTokens: own.tokens + elsewhere, UnreadSquares: own.squares + elsewhere*e.sizeBiased,
	}
}

// apply sets the candidate's cost to the loss, in late requests: the probability that the new request is late or rejected because
// the group is full, and the number of requests with unread prompts there that its reading makes late. The harm to the gaps of
// running requests is not included, because their objective is unknown here.
func (e *lossEstimator) apply(c *candidate) {
	load := e.groupLoad(c)
	c.predicted = prediction{e.model.FirstEventAt(load, e.promptTokens), e.model.GapAt(load)}
	factor := e.picker.correctionOf(c, e.now)
	first := factor * c.predicted.firstEvent.Seconds()
	if e.picker.isRemote(c.endpoint) {
		first += remoteTimeCost.Seconds()
	}
	objective := e.requirements.Objective.Seconds()
	// A request arrives at any moment of the pass under way, so its first event is spread evenly over a pass.
	spread := factor * e.model.GapAt(engine.GroupLoad{Running: load.Running}).Seconds() / math.Sqrt(12)
	late := logistic(first-objective, spread)
	harm := 0.0
	if e.meanPrompt > 0 {
		reading := factor * (c.predicted.firstEvent - e.model.FirstEventAt(load, 0)).Seconds()
		harm = load.UnreadTokens / e.meanPrompt * (logistic(first+reading-objective, spread) - late)
	}
	rejected := logistic(float64(load.Running-e.requirements.Slots)+0.5, e.countError)
	c.cost = late + (1-late)*rejected + harm + timeWeight*first/objective
}

// logistic returns the probability that a value with the given mean and standard deviation is positive. The logistic distribution
// is near the normal one and cheap.
func logistic(mean, deviation float64) float64 {
	if deviation <= 0 {
		if mean > 0 {
			return 1
		}
		return 0
	}
	return 1 / (1 + math.Exp(-mean/deviation*math.Pi/math.Sqrt(3)))
}
