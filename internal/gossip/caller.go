package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/infra"
)

const (
	maxPooledPerPeer = 2
	pooledConnExpiry = 30 * time.Second
	dialTimeout      = 300 * time.Millisecond
)

// errRestarted means that the process at the address is not the incarnation that was asked for.
var errRestarted = errors.New("the node has restarted: its incarnation differs from the requested one")

// Dial opens a connection to another node's peer address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is a Dial that uses TCP and a timeout of dialTimeout.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Caller makes drpc calls to other nodes over pooled connections.
type Caller struct {
	dial Dial
	pool *drpcpool.Pool[string, drpcpool.Conn]
	decompressor
}

// NewCaller returns a Caller that opens connections with dial.
func NewCaller(dial Dial) *Caller {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{KeyCapacity: maxPooledPerPeer, Expiration: pooledConnExpiry})
	return &Caller{dial, pool, newDecompressor()}
}

func (c *Caller) client(ctx context.Context, address string) gossippb.DRPCGossipClient {
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		raw, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(raw), nil
	})
	return gossippb.NewDRPCGossipClient(drpc.Conn(conn))
}

// Pull fetches the store objects that the node has received after its own sequence number since; with routing set, only
// those needed for routing. It returns the sequence number that the reply reaches.
func (c *Caller) Pull(ctx context.Context, address, incarnation string, since uint64, routing bool) (uint64, []infra.Object, error) {
	reply, err := c.client(ctx, address).Pull(ctx, &gossippb.PullRequest{Incarnation: incarnation, Since: since, Routing: routing})
	if err != nil {
		return 0, nil, err
	}
	if reply.Incarnation != incarnation {
		return 0, nil, errRestarted
	}
	objects, err := c.decompress(reply)
	if err != nil {
		return 0, nil, err
	}
	return reply.Sequence, objectsFromWire(objects), nil
}

// ProbeResult is what another node found out about an endpoint.
type ProbeResult struct {
	Answered bool // the endpoint answered
	Isolated bool // the node reaches no other endpoint either, so that the lack of an answer says nothing
}

// Probe asks the node at address to contact an endpoint.
func (c *Caller) Probe(ctx context.Context, address, id, endpointAddress string) (ProbeResult, error) {
	reply, err := c.client(ctx, address).Probe(ctx, &gossippb.ProbeRequest{Id: id, Address: endpointAddress})
	if err != nil {
		return ProbeResult{}, err
	}
	return ProbeResult{Answered: reply.Answered, Isolated: reply.Isolated}, nil
}

// Close closes the pooled connections.
func (c *Caller) Close() error { return c.pool.Close() }
