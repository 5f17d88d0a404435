package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// roster lists a group of nodes: a relay and the nodes that report to it, or the nodes of a partial view.
type roster struct {
	digest   uint64 // hash of the members without their uptimes
	members  []*Peer
	lastUsed time.Time // when a live node was last known to use it
}

// newRoster returns a roster of the given nodes, which it sorts by VM.
func newRoster(members []*Peer) *roster {
	slices.SortFunc(members, func(a, b *Peer) int { return cmp.Compare(a.VM, b.VM) })
	hash := xxhash.New()
	for _, m := range members {
		record := rosterEntry(m)
		record.UptimeMs = 0
		if content, err := (proto.MarshalOptions{Deterministic: true}).Marshal(record); err == nil {
			_, _ = hash.Write(content)
		}
	}
	return &roster{digest: hash.Sum64(), members: members}
}

// rosterEntry returns a node's entry in a roster: its identity and a part of its status.
func rosterEntry(p *Peer) *gossippb.Beat {
	s := p.Status
	return toWire(p.Identity, Status{
		Leaving: s.Leaving, Serving: s.Serving, Eligible: s.Eligible, Isolated: s.Isolated, LeaderEpoch: s.LeaderEpoch, Uptime: s.Uptime,
	}, time.Time{})
}

// toWire encodes the roster, with the uptimes of its members as of now.
func (r *roster) toWire(now time.Time) *gossippb.Roster {
	out := &gossippb.Roster{Digest: r.digest}
	for _, m := range r.members {
		record := rosterEntry(m)
		record.UptimeMs = ceilMillis(m.Uptime + now.Sub(m.Heard))
		out.Members = append(out.Members, record)
	}
	return out
}

func rosterFromWire(w *gossippb.Roster, asOf time.Time) *roster {
	r := &roster{digest: w.Digest, lastUsed: asOf}
	for _, m := range w.Members {
		r.members = append(r.members, fromWire(m, asOf))
	}
	return r
}
