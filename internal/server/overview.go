package server

import (
	"encoding/json"
	"net/http"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
)

// overviewPath is where the metrics address serves what this node knows of the fleet.
const overviewPath = "/fleet"

// overview is the fleet as one node knows it. A relay knows every node, and how old the copies are of those that report to
// it; any other node knows the relays and the largest nodes.
type overview struct {
	VM      string       `json:"vm"`
	Nodes   int          `json:"nodes"` // this one included, and those lost in the last forty seconds
	Leader  string       `json:"leader,omitempty"`
	Members []memberView `json:"members"`
}

// memberView is one node as another knows it.
type memberView struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Leads      bool   `json:"leads,omitempty"`
	Relays     bool   `json:"relays,omitempty"`
	Watches    bool   `json:"watches,omitempty"` // the store
	Serving    bool   `json:"serving"`
	Leaving    bool   `json:"leaving,omitempty"`
	// CopyAgeMS is how old its copy of the store is at the most; it is missing if only others have told of the node.
	CopyAgeMS *int64 `json:"copy_age_ms,omitempty"`
}

// overviewOf returns what a node knows that is in that state and hears of those others.
func overviewOf(self gossip.Peer, others []*gossip.Peer, nodes int, now time.Time) overview {
	out := overview{VM: self.VM, Nodes: nodes}
	for _, p := range append([]*gossip.Peer{&self}, others...) {
		m := memberView{
			VM: p.VM, DataCentre: p.Zone, Leads: p.LeaderEpoch > 0, Relays: p.Relay, Watches: p.Watching, Serving: p.Serving, Leaving: p.Leaving,
		}
		if !p.ProofAt.IsZero() {
			age := now.Sub(p.ProofAt).Milliseconds()
			m.CopyAgeMS = &age
		}
		if m.Leads {
			out.Leader = p.VM
		}
		out.Members = append(out.Members, m)
	}
	return out
}

// serveOverview answers with what this node knows of the fleet.
func (n *Server) serveOverview(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	self := gossip.Peer{Identity: n.gossip.Self(), Status: n.status(now)}
	self.Relay = n.gossip.Relaying()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(overviewOf(self, n.gossip.Live(now), 1+n.gossip.Known(now), now)) //nolint:errchkjson // the reader has left
}
