package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/ratelimit"
)

const (
	// firstPatience is how long a replica group may send nothing at all before it counts as standing still.
	firstPatience = 1500 * time.Millisecond
	// leastPatience and mostPatience bound the wait for the next event of a running stream. A group that reads several
	// long prompts in one pass is silent for some 300 ms; taking it for dead sends its streams to others, whose
	// passes grow in turn, and a stream that is sent again is late in any case.
	leastPatience = 600 * time.Millisecond
	mostPatience  = 1000 * time.Millisecond
	// firstDoubt, leastDoubt and mostDoubt are the waits after which a group is doubted: others are preferred for new
	// requests, and the leader asks its members.
	firstDoubt = 700 * time.Millisecond
	leastDoubt = 250 * time.Millisecond
	mostDoubt  = 600 * time.Millisecond
	// gapsPatience is how many usual pauses between events are waited.
	gapsPatience = 4
)

// First notes that the first event, or the answer, came after that time.
func (p *Place) First(latency time.Duration, now time.Time) {
	p.update(now, func(h *health) {
		h.latency = mean(h.latency, latency)
		h.failures -= smoothing * h.failures
	})
}

// Progress notes an event that came that long after the one before.
func (p *Place) Progress(gap time.Duration, now time.Time) {
	p.update(now, func(h *health) { h.gap = mean(h.gap, gap) })
}

// update notes a sign of life and applies change.
func (p *Place) update(now time.Time, change func(*health)) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.key(), now)
	h.progress = now
	h.suspect, h.refused = time.Time{}, time.Time{}
	h.stood, h.refusals = 0, 0
	change(h)
}

// SaidLimit takes in what the answer to a request that was sent at sent says of the endpoint's limit.
func (p *Place) SaidLimit(l ratelimit.Limit, sent, now time.Time) {
	p.picker.options.Limits.Said(p.Endpoint.ID, l, sent, now)
}

// SaidLeaving notes that the endpoint has said in an answer that it leaves.
func (p *Place) SaidLeaving(now time.Time) {
	p.picker.options.Directory.MarkLeaving(p.Endpoint.ID, now)
}

// Limit returns the limit that the endpoint has named last.
func (p *Place) Limit() ratelimit.Limit { return p.picker.options.Limits.Limit(p.Endpoint.ID) }

// Failed notes that the endpoint failed the request or could not be reached.
func (p *Place) Failed(unreachable bool, now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.key(), now)
	h.failures += smoothing * (1 - h.failures)
	switch {
	case !unreachable:
	case p.Group == "":
		h.suspect, h.avoid = now, now.Add(failedFor)
	default:
		h.suspect = now
		h.avoidMore(now)
	}
}

// Refused notes that the endpoint refused the request without Retry-After. One that was full is not avoided
// for that: its load tells as much.
func (p *Place) Refused(now time.Time) {
	if slots := p.Endpoint.Slots; slots > 0 && p.Requests >= slots {
		p.Failed(false, now)
		return
	}
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.picker.healthOf(p.key(), now).refuse(now)
}

// Patience returns until when the next sign of life should come, for a request that got its last one (or was
// sent) at since, and from when on the group is to be doubted. Any sign of life of the same group counts for a
// request that has got nothing yet: its prompt waits its turn.
func (p *Place) Patience(since time.Time, begun bool) (doubt, until time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.key(), since)
	if !begun {
		if h.progress.After(since) {
			since = h.progress
		}
		return since.Add(firstDoubt), since.Add(firstPatience)
	}
	usual := gapsPatience * h.gap
	return since.Add(min(max(usual, leastDoubt), mostDoubt)), since.Add(min(max(usual, leastPatience), mostPatience))
}

// Lost reports whether the leader has found the group to have lost a member, so that nothing more comes from it.
func (p *Place) Lost(now time.Time) bool {
	return p.Group != "" && p.picker.options.Lost != nil && p.picker.options.Lost(p.Group, now)
}

// StoodStill notes that nothing came in time.
func (p *Place) StoodStill(now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	h := p.picker.healthOf(p.key(), now)
	fresh := h.suspect.IsZero()
	if fresh {
		h.suspect = now
	}
	h.avoidMore(now)
	if fresh && p.Group != "" && p.picker.options.Doubted != nil {
		p.picker.options.Doubted()
	}
}

// Report fills in what the other nodes are told.
func (p *Picker) Report(s *gossip.Status, now time.Time) {
	snapshot := p.options.Directory.Read()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Loads = make(gossip.Loads)
	p.options.Limits.Learn(p.options.Others(now).Limits, now)
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
		if h.suspected(now) && g != nil && now.Sub(h.suspect) < suspectFor {
			s.Suspects[key] = h.suspect
		}
	}
	s.Demands = make(map[string]gossip.Demand)
	for model := range p.arrivals {
		s.Demands[model] = p.demandOf(model, now)
	}
}
