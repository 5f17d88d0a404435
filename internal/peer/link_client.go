package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/freshness"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/peer/peerpb"
)

// idleHeartbeats is how many heartbeats of silence end a connection.
const idleHeartbeats = 8

// upGap is the shortest time between two messages to a relay.
const upGap = 20 * time.Millisecond

// LinkClient is this node's link to one relay.
type LinkClient struct {
	fleet  *Fleet
	near   bool // the relay is in this node's data centre
	stream peerpb.DRPCPeer_LinkClient

	mu    sync.Mutex
	clock freshness.Clock
	echo  uint64
}

// RunLink joins the relay at address and passes both ways until the link breaks or ctx ends.
// near says that the relay is in this node's data centre. up is called with each instant at which
// the relay was certainly alive.
func RunLink(ctx context.Context, fleet *Fleet, address string, near bool, up func(at time.Time)) error {
	d := net.Dialer{Timeout: idleHeartbeats * fleet.Heartbeat / 2}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(transport{raw, idleHeartbeats * fleet.Heartbeat})
	defer conn.Close() //nolint:errcheck // the link is over
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerpb.NewDRPCPeerClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	l := &LinkClient{fleet: fleet, near: near, stream: stream}
	failed := make(chan error, 1)
	go func() { failed <- l.send(ctx) }()
	for {
		down, err := stream.Recv()
		if err != nil {
			return err
		}
		if at, ok := l.take(down); ok {
			up(at)
		}
		select {
		case err := <-failed:
			return err
		default:
		}
	}
}

func (l *LinkClient) take(down *peerpb.Down) (time.Time, bool) {
	l.mu.Lock()
	l.echo = down.Tick
	asOf, ok := l.clock.AsOf(down.Echo)
	l.mu.Unlock()
	for _, o := range down.Objects {
		l.fleet.Mirror.Put(objectFromWire(o))
	}
	if !ok {
		return asOf, false
	}
	now := clock.Now()
	for _, e := range down.Evidence {
		look := lookFromWire(e, asOf)
		look.SameDataCentre = l.near && l.nearObserver(look.Observer)
		l.fleet.Looks.Put(look, now)
	}
	l.takeMembers(down.Members, asOf)
	for _, a := range down.Alive {
		l.fleet.Members.Heard(a.Vm, a.Incarnation, asOf.Add(-millis(a.AgeMs)))
	}
	l.fleet.Contact.Heard(asOf)
	return asOf, true
}

func (l *LinkClient) takeMembers(members []*peerpb.Member, asOf time.Time) {
	self := l.fleet.Members.Self(asOf)
	for _, m := range members {
		if m.Vm != self.VM {
			l.fleet.Members.Put(memberFromWire(m, asOf))
		}
	}
}

func (l *LinkClient) nearObserver(observer string) bool {
	m, ok := l.fleet.Members.Get(ObserverVM(observer))
	return ok && m.DataCentre == l.fleet.Members.Self(clock.Now()).DataCentre
}

// header starts a message; see linkServer.header for why the echo is read before the clock.
func (l *LinkClient) header() (*peerpb.Up, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	echo := l.echo
	now := clock.Now()
	return &peerpb.Up{Tick: l.clock.Next(now), Echo: echo}, now
}

func (l *LinkClient) send(ctx context.Context) error {
	var sequence uint64
	for ctx.Err() == nil {
		up, now := l.header()
		up.Member = memberToWire(l.fleet.Members.Self(now), now)
		var changed <-chan struct{}
		up.Evidence, sequence, changed = l.fleet.Outgoing.since(sequence, now)
		if err := l.stream.Send(up); err != nil {
			return err
		}
		if !l.near {
			changed = nil // only relays of the own data centre need what this node observes
		}
		if loop.SleepOrWake(ctx, l.fleet.Heartbeat, changed) {
			loop.Sleep(ctx, upGap)
		}
	}
	return ctx.Err()
}

// ObserverName names an observer: its VM and incarnation.
func ObserverName(m membership.Member) string { return m.VM + "/" + m.Incarnation }

// ObserverVM returns the VM of an observer's name.
func ObserverVM(observer string) string {
	for i := range observer {
		if observer[i] == '/' {
			return observer[:i]
		}
	}
	return observer
}
