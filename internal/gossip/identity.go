package gossip

// Identity names one node's process and its addresses.
type Identity struct {
	VM            string
	Incarnation   string // differs at every start
	Zone          string
	CallerAddress string
	GossipAddress string // of its datagrams
	PeerAddress   string // of its drpc calls
	Capacity      uint32 // of its VM, in thousandths of a core
}
