package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// roster lists the nodes that report to one relay, and the relay.
type roster struct {
	digest  uint64 // of all but the uptimes
	members []*Peer
	used    time.Time // it was last named by another node
}

// newRoster returns the roster of those nodes.
func newRoster(members []*Peer) *roster {
	slices.SortFunc(members, func(a, b *Peer) int { return cmp.Compare(a.VM, b.VM) })
	hash := xxhash.New()
	for _, m := range members {
		record := recordOf(m)
		record.UptimeMs = 0
		if content, err := (proto.MarshalOptions{Deterministic: true}).Marshal(record); err == nil {
			_, _ = hash.Write(content)
		}
	}
	return &roster{digest: hash.Sum64(), members: members}
}

// recordOf returns what a roster tells of a node.
func recordOf(p *Peer) *gossippb.Beat {
	s := p.Status
	return toWire(p.Identity, Status{
		Leaving: s.Leaving, Serving: s.Serving, Eligible: s.Eligible, LeaderEpoch: s.LeaderEpoch, Uptime: s.Uptime,
	}, time.Time{})
}

// toWire returns the roster as it is sent at now.
func (r *roster) toWire(now time.Time) *gossippb.Roster {
	out := &gossippb.Roster{Digest: r.digest}
	for _, m := range r.members {
		record := recordOf(m)
		record.UptimeMs = roundUp(m.Uptime + now.Sub(m.Heard))
		out.Members = append(out.Members, record)
	}
	return out
}

func rosterFromWire(w *gossippb.Roster, asOf time.Time) *roster {
	r := &roster{digest: w.Digest, used: asOf}
	for _, m := range w.Members {
		r.members = append(r.members, fromWire(m, asOf))
	}
	return r
}
