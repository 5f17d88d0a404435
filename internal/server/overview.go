package server

import (
	"encoding/json"
	"net/http"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
)

// overviewPath is the path at the metrics address of the overview of the fleet.
const overviewPath = "/fleet"

// overview describes the fleet as one node knows it. A relay knows every node, and the age of the copies of the nodes that
// report to it; any other node knows the relays and the largest nodes.
type overview struct {
	VM      string       `json:"vm"`
	Nodes   int          `json:"nodes"` // includes this node and those lost in the last forty seconds
	Leader  string       `json:"leader,omitempty"`
	Members []memberView `json:"members"`
}

// memberView describes one node as another node knows it.
type memberView struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Leads      bool   `json:"leads,omitempty"`
	Relays     bool   `json:"relays,omitempty"`
	Watches    bool   `json:"watches,omitempty"` // watches the store itself
	Serving    bool   `json:"serving"`
	Leaving    bool   `json:"leaving,omitempty"`
	// CopyAgeMS is the maximum age of the node's copy of the store, in milliseconds; it is missing for a node that is known only
	// through other nodes.
	CopyAgeMS *int64 `json:"copy_age_ms,omitempty"`
}

// newOverview returns the overview of the fleet by the node self, given the other live nodes and the number of all nodes.
func newOverview(self gossip.Peer, others []*gossip.Peer, nodes int, now time.Time) overview {
	out := overview{VM: self.VM, Nodes: nodes}
	for _, p := range append([]*gossip.Peer{&self}, others...) {
		m := memberView{
			VM: p.VM, DataCentre: p.DataCentre, Leads: p.LeaderEpoch > 0, Relays: p.Relay, Watches: p.Watching, Serving: p.Serving, Leaving: p.Leaving,
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

// serveOverview answers with this node's overview of the fleet as JSON.
func (n *Server) serveOverview(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	self := gossip.Peer{Identity: n.gossip.Self(), Status: n.status(now)}
	self.Relay = n.gossip.Relaying()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newOverview(self, n.gossip.Live(now), 1+n.gossip.KnownCount(now), now)) //nolint:errchkjson // fails only if the client has disconnected
}
