package picker

import (
	"math"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

// reportAge is the mean age of the loads that other nodes have reported: they send them every HeartbeatInterval, and the beats
// of a relay repeat them up to one HeartbeatInterval later. In a simulated fleet with this age, values from 100 to 300 ms made
// no difference.
const reportAge = 3 * gossip.HeartbeatInterval / 2

// recentSends is the number of requests that this node has sent to a group within about reportAge. It decays exponentially, so
// that on average it equals the number sent within that time.
type recentSends struct {
	count   float64 // at updated
	updated time.Time
}

func (s *recentSends) add(now time.Time) {
	s.count = s.at(now) + 1
	s.updated = now
}

// at returns the number at a time.
func (s *recentSends) at(now time.Time) float64 {
	if s.count == 0 {
		return 0
	}
	return s.count * math.Exp(-now.Sub(s.updated).Seconds()/reportAge.Seconds())
}

// unreported returns how many requests the other nodes have probably sent to a group since their last reports: each as many as
// this node, because all of them choose in the same way from the same reports.
func (p *Picker) unreported(group string, others *gossip.Totals, now time.Time) float64 {
	h := p.health[group]
	if h == nil || p.ignoreUnreported {
		return 0
	}
	return float64(others.Busy) * h.recentSends.at(now)
}
