package reach

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/tunnel"
)

const (
	// detourDelay is how long a direct connection may take before the endpoint is dialed through another node as well. Endpoints
	// of the same region accept connections within a few milliseconds.
	detourDelay = 100 * time.Millisecond
	// maxDetours is how many nodes are tried one after the other.
	maxDetours = 3
	// detourTimeout bounds the attempt through one node.
	detourTimeout = 150 * time.Millisecond
)

// errNoPeer means that no other node could be asked to connect to an endpoint.
var errNoPeer = errors.New("no other node can be asked to connect to the endpoint")

// Dialer connects to endpoints: directly, or through another node if this node's own path is broken.
type Dialer struct {
	Monitor *Monitor
	// DialPeer connects to another node.
	DialPeer Dial
	// Peers returns the peer addresses of up to n other nodes that may reach endpoints, best first.
	Peers func(n int) []string
	// Usable reports whether connections through the node at the peer address may carry further requests.
	Usable func(peer string) bool
	// OnDetour is called for each connection through another node; it must not block.
	OnDetour func()
	// OnDetourEnd is called when a connection through the node at a peer address ends other than by this node; it must not block.
	OnDetourEnd func(peer, address string, e tunnel.End, err error)
	// OnBroken is called when the direct path to an address is found to be broken; it must not block.
	OnBroken func(address string)

	paths paths
}

// Detours returns the number of endpoints that this node reaches through other nodes.
func (d *Dialer) Detours() int { return d.paths.count() }

// Sweep removes the state of endpoints that are no longer in use.
func (d *Dialer) Sweep(now time.Time) { d.paths.sweep(now) }

// Dial connects to the endpoint at address. The error is ECONNREFUSED only if another node that reaches other endpoints was refused as
// well, or if there is no other node.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if peer, retry := d.paths.detour(address, clock.Now()); peer != "" {
		if retry {
			go d.retryDirect(address)
		}
		if c, err := d.dialThrough(ctx, address, peer); err == nil {
			return c, nil
		}
	}
	if d.Monitor.Isolated() {
		if c, err := d.dialPeers(ctx, address); err == nil {
			return c, nil
		}
	}
	return d.race(ctx, address)
}

// dialed is the outcome of a direct attempt.
type dialed struct {
	conn net.Conn
	err  error
}

// race dials directly and, if that fails or takes longer than detourDelay, through other nodes.
func (d *Dialer) race(ctx context.Context, address string) (net.Conn, error) {
	direct := make(chan dialed, 1)
	directCtx, cancel := withDeadlineOf(ctx)
	go func() {
		defer cancel()
		c, err := d.dialDirect(directCtx, address)
		direct <- dialed{c, err}
	}()
	delay := time.NewTimer(detourDelay)
	defer delay.Stop()
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, nil
		}
		return d.afterFailure(ctx, address, r.err)
	case <-ctx.Done():
		go closeLate(direct)
		return nil, ctx.Err()
	case <-delay.C:
		d.Monitor.Failed(address)
	}
	if c, err := d.dialPeers(ctx, address); err == nil {
		go closeLate(direct)
		return c, nil
	}
	select {
	case r := <-direct:
		return r.conn, r.err
	case <-ctx.Done():
		go closeLate(direct)
		return nil, ctx.Err()
	}
}

// afterFailure tries other nodes after the direct attempt has failed with err.
func (d *Dialer) afterFailure(ctx context.Context, address string, err error) (net.Conn, error) {
	c, peerErr := d.dialPeers(ctx, address)
	switch {
	case peerErr == nil:
		return c, nil
	case !errors.Is(err, syscall.ECONNREFUSED), errors.Is(peerErr, tunnel.ErrRefused):
		return nil, err
	case errors.Is(peerErr, errNoPeer) && d.Monitor.ReachesOthers(ctx, address):
		return nil, err
	default:
		return nil, unconfirmedError{err}
	}
}

// dialDirect dials without the help of other nodes.
func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.Monitor.Dial(ctx, address)
	if err != nil {
		d.Monitor.Failed(address)
		return nil, err
	}
	d.Monitor.Connected(clock.Now())
	d.paths.recordDirect(address)
	return c, nil
}

// retryDirect finds out whether the direct path works again.
func (d *Dialer) retryDirect(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	if c, err := d.dialDirect(ctx, address); err == nil {
		_ = c.Close()
	}
}

// dialPeers dials through up to maxDetours other nodes, one after the other. The error is tunnel.ErrRefused if any of them was
// refused.
func (d *Dialer) dialPeers(ctx context.Context, address string) (net.Conn, error) {
	if d.paths.unreachable(address, clock.Now()) {
		return nil, tunnel.ErrRefused
	}
	lastErr := errNoPeer
	for _, peer := range d.Peers(maxDetours) {
		c, err := d.dialThrough(ctx, address, peer)
		if err == nil {
			if d.paths.recordDetour(address, peer, clock.Now()) {
				d.OnBroken(address)
			}
			return c, nil
		}
		if !errors.Is(lastErr, tunnel.ErrRefused) {
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if errors.Is(lastErr, tunnel.ErrRefused) {
		d.paths.recordUnreachable(address, clock.Now())
	}
	return nil, lastErr
}

func (d *Dialer) dialThrough(ctx context.Context, address, peer string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	c, err := tunnel.Dial(ctx, d.DialPeer, peer, address)
	if err != nil {
		return nil, err
	}
	d.OnDetour()
	return d.wrap(c, address, peer), nil
}

// withDeadlineOf returns a context that ends at the deadline of ctx, though not with it, so that a direct attempt goes on after the
// endpoint has been reached through another node.
func withDeadlineOf(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// closeLate closes the connection of a direct attempt that is no longer needed.
func closeLate(direct <-chan dialed) {
	if r := <-direct; r.err == nil {
		_ = r.conn.Close()
	}
}

// unconfirmedError is a refusal that no other node has confirmed, which may be the fault of this node's path.
type unconfirmedError struct{ err error }

func (e unconfirmedError) Error() string { return e.err.Error() + " (not confirmed by another node)" }
