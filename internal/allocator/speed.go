package allocator

import "time"

const (
	// slowFactor is how many times the quickest group's first-token time makes a group slow.
	slowFactor = 2
	// speedWeight is the part that one request's times have in a group's averages.
	speedWeight = 0.2
	// probeEvery is how often a slow group is given one request, to see whether it still is slow.
	probeEvery = 5 * time.Second
	// minSpeedSamples is how many requests a group must have served before it is judged.
	minSpeedSamples = 3
)

// Speed sums up how quickly a group has served requests at one node since its last report.
type Speed struct {
	Group      string
	Birth      int64
	Requests   int
	FirstToken time.Duration // sum over Requests
	Service    time.Duration // sum over Requests
}

// speed is a group's averages over all nodes.
type speed struct {
	samples    int
	firstToken float64 // seconds
	service    float64 // seconds
	probed     time.Time
}

func (s *speed) add(r Speed, now time.Time) {
	if r.Requests <= 0 {
		return
	}
	first := r.FirstToken.Seconds() / float64(r.Requests)
	service := r.Service.Seconds() / float64(r.Requests)
	weight := 1.0
	if s.samples > 0 {
		weight = min(1, speedWeight*float64(r.Requests))
	}
	s.firstToken += (first - s.firstToken) * weight
	s.service += (service - s.service) * weight
	s.samples += r.Requests
	s.probed = now
}

// judgeSpeeds finds the slow groups, and how many requests must wait before a slow group's places are worth
// using: as many as the quick ones will start within the time that the slow one takes longer.
func (p *Pool) judgeSpeeds() {
	quickest, found := 0.0, false
	for _, g := range p.groups {
		if g.places > 0 && g.speed.samples >= minSpeedSamples && (!found || g.speed.firstToken < quickest) {
			quickest, found = g.speed.firstToken, true
		}
	}
	starts := 0.0 // a second, by the quick groups
	for _, g := range p.groups {
		g.slow = found && g.speed.samples >= minSpeedSamples && g.speed.firstToken > slowFactor*quickest
		if !g.slow && g.places > 0 && g.speed.service > 0 {
			starts += float64(g.places) / g.speed.service
		}
	}
	for _, g := range p.groups {
		g.worthwhile = 0
		if g.slow {
			g.worthwhile = int((g.speed.firstToken - quickest) * starts)
		}
	}
}

// open reports whether the group's places may be granted now: always, or for a slow group when enough
// requests wait or it is time for a probe.
func (g *groupState) open(waiting int, now time.Time) bool {
	return !g.slow || waiting > g.worthwhile || g.held == 0 && now.Sub(g.speed.probed) > probeEvery
}
