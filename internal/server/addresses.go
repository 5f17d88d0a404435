package server

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

// enoughNear is how many nodes of a caller's own data centre are enough.
const enoughNear = 2

// addresses returns where callers of a data centre should connect: to its own nodes, and to others' as well if
// those are few.
func (n *Server) addresses(dataCentre string) []string {
	now := time.Now()
	nodes := n.gossip.Live(now)
	if n.ready() {
		nodes = append(nodes, &gossip.Peer{Identity: n.gossip.Self(), Status: gossip.Status{Serving: true}})
	}
	var near, far []string
	for _, p := range nodes {
		if p.Leaving || !p.Serving {
			continue
		}
		if p.Zone == dataCentre {
			near = append(near, p.CallerAddress)
			continue
		}
		far = append(far, p.CallerAddress)
	}
	if len(near) >= enoughNear {
		return near
	}
	return append(near, far...)
}
