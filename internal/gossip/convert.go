package gossip

import (
	"time"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// maxSuspects is the maximum number of suspected replica groups in one beat.
const maxSuspects = 20

// toWire encodes a node's identity and status as a beat; times become ages as of now.
func toWire(self Identity, s Status, now time.Time) *gossippb.Beat {
	b := &gossippb.Beat{
		Vm: self.VM, Incarnation: self.Incarnation, Zone: self.DataCentre, CallerAddress: self.CallerAddress,
		GossipAddress: self.GossipAddress, PeerAddress: self.PeerAddress,
		Leaving: s.Leaving, Serving: s.Serving, Watching: s.Watching, Eligible: s.Eligible, Isolated: s.Isolated, LeaderEpoch: s.LeaderEpoch, Sequence: s.Sequence,
		RoutingSequence: s.Routing, Full: s.Full,
		LeaseVersion: s.Lease.Version, LeaseTtlMs: uint32(s.Lease.Term / time.Millisecond), //nolint:gosec // terms are short
		Retiring: s.Retiring, Lost: s.Lost, Relay: s.Relay, Idle: s.Idle, Capacity: self.Capacity, UptimeMs: uint32(s.Uptime / time.Millisecond), //nolint:gosec // 49 days fit
	}
	if self.PeerAddress == self.GossipAddress {
		b.PeerAddress = "" // same as GossipAddress; saves bytes in rosters, most of the traffic while a fleet starts
	}
	if !s.ProofAt.IsZero() {
		b.ProofAgeMs = max(1, ceilMillis(now.Sub(s.ProofAt)))
	}
	b.RateLimits, b.Cold = s.Limits.toWire(now), s.Cold.toWire(now)
	b.Busy = uint32(s.Busy) //nolint:gosec // never negative
	for endpoint, n := range s.Loads {
		b.LoadEndpoints = append(b.LoadEndpoints, uint32(endpoint))
		b.LoadRequests = append(b.LoadRequests, uint32(n)) //nolint:gosec // never negative
	}
	for group, at := range s.Suspects {
		if len(b.Suspects) < maxSuspects {
			b.Suspects = append(b.Suspects, &gossippb.Suspect{Group: group, AgeMs: ceilMillis(now.Sub(at))})
		}
	}
	for model, d := range s.Demands {
		b.Demands = append(b.Demands, demandToWire(model, d))
	}
	return b
}

// ceilMillis rounds an age up to whole milliseconds, so that it is never understated.
func ceilMillis(age time.Duration) uint32 {
	return uint32((age + time.Millisecond - 1) / time.Millisecond) //nolint:gosec // ages are short
}

// fromWire decodes a beat that was created no earlier than asOf; ages become times counted back from asOf.
func fromWire(b *gossippb.Beat, asOf time.Time) *Peer {
	p := &Peer{
		Identity: Identity{
			VM: b.Vm, Incarnation: b.Incarnation, DataCentre: b.Zone, CallerAddress: b.CallerAddress,
			GossipAddress: b.GossipAddress, PeerAddress: b.PeerAddress, Capacity: b.Capacity,
		},
		Status: Status{
			Leaving: b.Leaving, Serving: b.Serving, Watching: b.Watching, Eligible: b.Eligible, Isolated: b.Isolated, LeaderEpoch: b.LeaderEpoch, Sequence: b.Sequence,
			Routing: b.RoutingSequence, Full: b.Full,
			Lease: Lease{b.LeaseVersion, fromMillis(b.LeaseTtlMs)}, Retiring: b.Retiring, Lost: b.Lost, Relay: b.Relay, Idle: b.Idle, Busy: int(b.Busy), Uptime: fromMillis(b.UptimeMs), Loads: make(Loads, len(b.LoadEndpoints)),
			Suspects: make(map[string]time.Time, len(b.Suspects)), Demands: make(map[string]Demand, len(b.Demands)),
		},
		Heard: asOf,
	}
	if p.PeerAddress == "" {
		p.PeerAddress = p.GossipAddress
	}
	if b.ProofAgeMs > 0 {
		p.ProofAt = asOf.Add(-fromMillis(b.ProofAgeMs))
	}
	for i, endpoint := range b.LoadEndpoints[:min(len(b.LoadEndpoints), len(b.LoadRequests))] {
		p.Loads[EndpointKey(endpoint)] = int(b.LoadRequests[i])
	}
	p.Limits, p.Cold = rateLimitsFromWire(b.RateLimits, asOf), rateLimitsFromWire(b.Cold, asOf)
	for _, s := range b.Suspects {
		p.Suspects[s.Group] = asOf.Add(-fromMillis(s.AgeMs))
	}
	for _, d := range b.Demands {
		p.Demands[d.Model] = demandFromWire(d)
	}
	return p
}

func demandToWire(model string, d Demand) *gossippb.Demand {
	return &gossippb.Demand{
		Model: model, Waiting: uint32(d.Waiting), Running: uint32(d.Running), //nolint:gosec // never negative
		RequestsPerSecond: float32(d.Mix.PerSecond), TokensPerSecond: float32(d.Mix.Tokens), SquaresPerSecond: float32(d.Mix.Squares),
		ObjectiveMs: ceilMillis(d.Mix.Objective),
	}
}

func demandFromWire(d *gossippb.Demand) Demand {
	return Demand{Waiting: int(d.Waiting), Running: int(d.Running), Mix: engine.Mix{
		PerSecond: float64(d.RequestsPerSecond), Tokens: float64(d.TokensPerSecond), Squares: float64(d.SquaresPerSecond),
		Objective: fromMillis(d.ObjectiveMs),
	}}
}

func fromMillis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
