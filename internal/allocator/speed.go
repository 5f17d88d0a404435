package allocator

import "time"

const (
	// slowFactor is the multiple of the fastest group's time to first token above which a group is slow.
	slowFactor = 2
	// sampleWeight is the weight of one request in a group's moving averages.
	sampleWeight = 0.2
	// probeInterval is how often a slow group is given one request, to measure whether it is still slow.
	probeInterval = 5 * time.Second
	// minSpeedSamples is how many requests a group must have served before it can be classified as slow.
	minSpeedSamples = 3
)

// Speed sums the times in which a group served one node's requests since that node's last report.
type Speed struct {
	Group      string
	Birth      int64
	Requests   int
	FirstToken time.Duration // time to first token, sum over Requests
	Service    time.Duration // service time, sum over Requests
}

// speed holds a group's moving averages over all nodes.
type speed struct {
	samples    int
	firstToken float64 // seconds
	service    float64 // seconds
	lastSample time.Time
}

func (s *speed) add(r Speed, now time.Time) {
	if r.Requests <= 0 {
		return
	}
	first := r.FirstToken.Seconds() / float64(r.Requests)
	service := r.Service.Seconds() / float64(r.Requests)
	weight := 1.0
	if s.samples > 0 {
		weight = min(1, sampleWeight*float64(r.Requests))
	}
	s.firstToken += (first - s.firstToken) * weight
	s.service += (service - s.service) * weight
	s.samples += r.Requests
	s.lastSample = now
}

// classifySpeeds determines which groups are slow, and for each how many requests must wait before its places are
// worth using: as many as the other groups start within the extra time to first token of the slow group.
func (p *Pool) classifySpeeds() {
	fastest, found := 0.0, false
	for _, g := range p.groups {
		if g.places > 0 && g.speed.samples >= minSpeedSamples && (!found || g.speed.firstToken < fastest) {
			fastest, found = g.speed.firstToken, true
		}
	}
	startsPerSecond := 0.0 // requests that the groups that aren't slow start per second
	for _, g := range p.groups {
		g.slow = found && g.speed.samples >= minSpeedSamples && g.speed.firstToken > slowFactor*fastest
		if !g.slow && g.places > 0 && g.speed.service > 0 {
			startsPerSecond += float64(g.places) / g.speed.service
		}
	}
	for _, g := range p.groups {
		g.minWaiting = 0
		if g.slow {
			g.minWaiting = int((g.speed.firstToken - fastest) * startsPerSecond)
		}
	}
}

// grantable reports whether places of the group may be granted now. Those of a slow group may only if enough
// requests wait, or if nothing runs on it and a probe is due.
func (g *groupState) grantable(waiting int, now time.Time) bool {
	return !g.slow || waiting > g.minWaiting || g.held == 0 && now.Sub(g.speed.lastSample) > probeInterval
}
