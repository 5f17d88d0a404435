package tunnel

// End is how the bytes from an endpoint came to an end, as seen by one of the two nodes of a tunnel.
type End string

const (
	// EndpointClosed means that the endpoint has closed its connection.
	EndpointClosed End = "endpoint_closed"
	// EndpointBroke means that the connection between the relaying node and the endpoint broke.
	EndpointBroke End = "endpoint_broke"
	// NodeClosed means that the node that opened the tunnel has closed it or is gone.
	NodeClosed End = "node_closed"
	// TunnelBroke means that the connection between the two nodes broke.
	TunnelBroke End = "tunnel_broke"
)

// RelayEnds are the ends that a relaying node can see, and DialerEnds those that the node which opened the tunnel can.
var (
	RelayEnds  = []End{EndpointClosed, EndpointBroke, NodeClosed}
	DialerEnds = []End{EndpointClosed, EndpointBroke, TunnelBroke}
)
