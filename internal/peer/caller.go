package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/peer/peerpb"
)

const (
	maxPooledConnsPerPeer = 8
	poolConnExpiry        = 30 * time.Second
)

// Caller makes single calls to other nodes over pooled connections.
type Caller struct {
	pool        *drpcpool.Pool[string, drpcpool.Conn]
	idleTimeout time.Duration
	deployment  string
}

// NewCaller returns a Caller of a node of the given deployment, which may be empty. It closes a connection after idleTimeoutHeartbeats times heartbeat without traffic.
func NewCaller(heartbeat time.Duration, deployment string) *Caller {
	return &Caller{
		pool:        drpcpool.New[string, drpcpool.Conn](drpcpool.Options{KeyCapacity: maxPooledConnsPerPeer, Expiration: poolConnExpiry}),
		idleTimeout: idleTimeoutHeartbeats * heartbeat,
		deployment:  deployment,
	}
}

func (c *Caller) client(ctx context.Context, address string) peerpb.DRPCPeerClient {
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		d := net.Dialer{Timeout: time.Second}
		raw, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(idleTimeoutConn{raw, c.idleTimeout}), nil
	})
	return peerpb.NewDRPCPeerClient(drpc.Conn(conn))
}

// Parts fetches parts of the configuration from the node at address.
func (c *Caller) Parts(ctx context.Context, address string, keys []string) ([]infra.Object, error) {
	reply, err := c.client(ctx, address).Parts(withDeployment(ctx, c.deployment), &peerpb.PartsRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	out := make([]infra.Object, len(reply.Parts))
	for i, p := range reply.Parts {
		out[i] = objectFromWire(p)
	}
	return out, nil
}

// Demand sends request to the allocator at address and returns its reply.
func (c *Caller) Demand(ctx context.Context, address string, request *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	return c.client(ctx, address).Demand(withDeployment(ctx, c.deployment), request)
}

// Close closes the pooled connections.
func (c *Caller) Close() error { return c.pool.Close() }
