package gossip

// Identity identifies a node's process and holds its addresses.
type Identity struct {
	VM            string
	Incarnation   string // differs at every start of the process
	DataCentre    string // name
	CallerAddress string // where it serves callers
	GossipAddress string // where it receives datagrams
	PeerAddress   string // where it receives drpc calls
	Capacity      uint32 // of its VM, in thousandths of a core
}
