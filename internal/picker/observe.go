package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/ratelimit"
)

const (
	// firstEventTimeout is how long a replica group may send nothing to a request before its first event.
	firstEventTimeout = 1500 * time.Millisecond
	// minEventTimeout and maxEventTimeout bound the wait for the next event of a running stream. A group that reads several
	// long prompts in one pass sends nothing for some 300 ms. Treating it as failed would move its streams to other groups, whose
	// passes would grow in turn, and a stream that is sent again is late in any case.
	minEventTimeout = 600 * time.Millisecond
	maxEventTimeout = 1000 * time.Millisecond
	// firstSuspectAfter, minSuspectAfter and maxSuspectAfter are the corresponding waits after which a group is suspected:
	// new requests prefer other groups, and the leader probes the group's members.
	firstSuspectAfter = 700 * time.Millisecond
	minSuspectAfter   = 250 * time.Millisecond
	maxSuspectAfter   = 600 * time.Millisecond
	// eventTimeoutGaps is the multiple of the mean gap between events that is waited, within the bounds above.
	eventTimeoutGaps = 4
)

// RecordFirstEvent records that the first event, or the whole answer, arrived latency after the request was sent.
func (p *Place) RecordFirstEvent(latency time.Duration, now time.Time) {
	p.update(now, func(h *health) {
		h.meanLatency = movingAverage(h.meanLatency, latency)
		h.failureRate -= smoothing * h.failureRate
	})
}

// RecordEvent records an event that arrived gap after the previous one.
func (p *Place) RecordEvent(gap time.Duration, now time.Time) {
	p.update(now, func(h *health) { h.meanGap = movingAverage(h.meanGap, gap) })
}

// update records that the endpoint is alive, which clears its stalls and refusals, and applies change.
func (p *Place) update(now time.Time, change func(*health)) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.Key(), now)
	h.lastProgress = now
	if !h.suspectSince.IsZero() {
		h.recoveredAt = now
	}
	h.suspectSince, h.refusedUntil = time.Time{}, time.Time{}
	h.stalls, h.refusals = 0, 0
	change(h)
}

// RecordLimit records the rate limit announced in the answer to a request that was sent at sent.
func (p *Place) RecordLimit(l ratelimit.Limit, sent, now time.Time) {
	p.picker.options.Limits.RecordAnswer(p.Endpoint.ID, l, sent, now)
}

// RecordLeaving records that the endpoint has announced in an answer that it is about to leave.
func (p *Place) RecordLeaving(now time.Time) {
	p.picker.options.Directory.MarkLeaving(p.Endpoint.ID, now)
}

// Limit returns the rate limit that the endpoint announced last.
func (p *Place) Limit() ratelimit.Limit { return p.picker.options.Limits.Limit(p.Endpoint.ID) }

// RecordFailure records that the endpoint failed the request, or could not be reached if unreachable is set.
func (p *Place) RecordFailure(unreachable bool, now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.Key(), now)
	h.failureRate += smoothing * (1 - h.failureRate)
	switch {
	case !unreachable:
	case p.Group == "":
		h.suspectSince, h.avoidUntil = now, now.Add(unreachableBackoff)
	default:
		h.suspectSince = now
		h.backOffStall(now)
	}
}

// RecordRefusal records that the endpoint refused the request without Retry-After. An endpoint that was full is not avoided for
// it, because its load already steers requests away.
func (p *Place) RecordRefusal(now time.Time) {
	if slots := p.Endpoint.Slots; slots > 0 && p.Requests >= slots {
		p.RecordFailure(false, now)
		return
	}
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.picker.healthOf(p.Key(), now).backOffRefusal(now)
}

// RecordNoAnswer records that the endpoint answered the request with bytes that are no answer. It is avoided as one that refuses.
func (p *Place) RecordNoAnswer(now time.Time) {
	p.RecordFailure(false, now)
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.picker.healthOf(p.Key(), now).backOffRefusal(now)
}

// StallDeadlines returns when the group is to be suspected and when the stream times out, for a request whose last event came
// (or that was sent) at since. As long as the request has had no event, any event of the same group extends both, since its
// prompt may be waiting to be read.
func (p *Place) StallDeadlines(since time.Time, begun bool) (suspectAt, timeoutAt time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.Key(), since)
	if !begun {
		if h.lastProgress.After(since) {
			since = h.lastProgress
		}
		return since.Add(firstSuspectAfter), since.Add(firstEventTimeout)
	}
	expected := eventTimeoutGaps * h.meanGap
	return since.Add(min(max(expected, minSuspectAfter), maxSuspectAfter)), since.Add(min(max(expected, minEventTimeout), maxEventTimeout))
}

// Lost reports whether the leader has found that the group has lost a member, so that nothing more will arrive from it.
func (p *Place) Lost(now time.Time) bool {
	return p.Group != "" && p.picker.options.Lost != nil && p.picker.options.Lost(p.Group, now)
}

// RecordStall records that nothing arrived from the group or endpoint in time.
func (p *Place) RecordStall(now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.Key(), now)
	firstStall := h.suspectSince.IsZero()
	if firstStall {
		h.suspectSince = now
	}
	h.backOffStall(now)
	if firstStall && p.Group != "" && p.picker.options.OnStall != nil {
		p.picker.options.OnStall()
	}
}

// Report fills in the picker's part of the status that this node sends to the others.
func (p *Picker) Report(s *gossip.Status, now time.Time) {
	snapshot := p.options.Directory.Read()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Loads = make(gossip.Loads)
	p.options.Limits.MergeReports(p.options.Others(now).Limits, now)
	s.Limits, s.Cold = p.options.Limits.Report(now), p.cold.Report(now)
	s.Suspects = make(map[string]time.Time)
	for key, h := range p.health {
		g := snapshot.Groups[key]
		if h.running > 0 {
			switch {
			case g != nil && g.Head != nil:
				s.Loads[gossip.KeyOf(g.Head.ID)] = h.running
			case snapshot.Endpoints[key] != nil:
				s.Loads[gossip.KeyOf(key)] = h.running
			}
		}
		if h.suspected(now) && g != nil && now.Sub(h.suspectSince) < stallBackoff {
			s.Suspects[key] = h.suspectSince
		}
	}
	s.Demands = make(map[string]gossip.Demand)
	for model := range p.arrivals {
		s.Demands[model] = p.demandOf(model, now)
	}
}
