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
	pooledPerPeer = 2
	pooledFor     = 30 * time.Second
	dialWait      = 300 * time.Millisecond
)

// errRestarted means that another process answers at the address than was asked.
var errRestarted = errors.New("the node has started anew")

// Dial connects to another node's peer address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP connects over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialWait}
	return d.DialContext(ctx, "tcp", address)
}

// Caller makes calls to other nodes over pooled connections.
type Caller struct {
	dial Dial
	pool *drpcpool.Pool[string, drpcpool.Conn]
	unpacker
}

// NewCaller returns a Caller that connects by dial.
func NewCaller(dial Dial) *Caller {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{KeyCapacity: pooledPerPeer, Expiration: pooledFor})
	return &Caller{dial, pool, newUnpacker()}
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

// Pull fetches what the node has taken in since a sequence of its own, or of that what is needed for routing.
func (c *Caller) Pull(ctx context.Context, address, incarnation string, since uint64, routing bool) (uint64, []infra.Object, error) {
	reply, err := c.client(ctx, address).Pull(ctx, &gossippb.PullRequest{Incarnation: incarnation, Since: since, Routing: routing})
	if err != nil {
		return 0, nil, err
	}
	if reply.Incarnation != incarnation {
		return 0, nil, errRestarted
	}
	objects, err := c.unpack(reply)
	if err != nil {
		return 0, nil, err
	}
	return reply.Sequence, objectsFromWire(objects), nil
}

// Probe asks the node whether an endpoint answers it.
func (c *Caller) Probe(ctx context.Context, address, id, endpointAddress string) (bool, error) {
	reply, err := c.client(ctx, address).Probe(ctx, &gossippb.ProbeRequest{Id: id, Address: endpointAddress})
	if err != nil {
		return false, err
	}
	return reply.Answered, nil
}

// Close closes the pooled connections.
func (c *Caller) Close() error { return c.pool.Close() }
