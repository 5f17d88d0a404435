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
	"moorrun.dev/moorrun/internal/quarantine"
)

// idleTimeoutHeartbeats is the number of heartbeat intervals without traffic after which a connection is closed.
const idleTimeoutHeartbeats = 8

// minSendInterval is the shortest time between two messages on a link that are sent because state has changed.
const minSendInterval = 20 * time.Millisecond

// LinkClient is the client side of a link: this node's stream to one relay.
type LinkClient struct {
	fleet          *Fleet
	address        string
	sameDataCentre bool // whether the relay is in this node's data centre
	stream         peerpb.DRPCPeer_LinkClient

	mu    sync.Mutex
	clock freshness.Clock
	echo  uint64
}

// RunLink connects to the relay at address and exchanges messages with it until the link fails or ctx ends.
// sameDataCentre tells whether the relay is in this node's data centre. onAlive is called with each time at
// which the relay is known to have been alive.
func RunLink(ctx context.Context, fleet *Fleet, address string, sameDataCentre bool, onAlive func(at time.Time)) error {
	d := net.Dialer{Timeout: idleTimeoutHeartbeats * fleet.Heartbeat / 2}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(idleTimeoutConn{raw, idleTimeoutHeartbeats * fleet.Heartbeat})
	defer conn.Close() //nolint:errcheck // the link has ended
	ctx, cancel := context.WithCancel(withDeployment(ctx, fleet.Deployment))
	defer cancel()
	stream, err := peerpb.NewDRPCPeerClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	l := &LinkClient{fleet: fleet, address: address, sameDataCentre: sameDataCentre, stream: stream}
	sendErr := make(chan error, 1)
	go func() { sendErr <- l.send(ctx) }()
	for {
		down, err := stream.Recv()
		if err != nil {
			return err
		}
		if at, ok := l.receive(down); ok {
			onAlive(at)
		}
		select {
		case err := <-sendErr:
			return err
		default:
		}
	}
}

// receive applies a message from the relay. It returns a time at which the relay is known to have been alive,
// or false if the message echoes no known tick: the age of its evidence and members is then unknown, and they
// are ignored.
func (l *LinkClient) receive(down *peerpb.Down) (time.Time, bool) {
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
		observation := observationFromWire(e, asOf)
		observation.SameDataCentre = l.sameDataCentre && l.observerInSameDataCentre(observation.Observer)
		l.fleet.Observations.Put(observation, now)
	}
	l.receiveMembers(down.Members, asOf)
	l.fleet.mergeRecords(down.Quarantine, quarantine.Source{VM: l.address, Relay: true}, asOf)
	for _, a := range down.Alive {
		l.fleet.Members.Heard(a.Vm, a.Incarnation, asOf.Add(-millis(a.AgeMs)))
	}
	l.fleet.Contact.RecordAlive(asOf)
	return asOf, true
}

func (l *LinkClient) receiveMembers(members []*peerpb.Member, asOf time.Time) {
	self := l.fleet.Members.Self(asOf)
	for _, m := range members {
		if m.Vm != self.VM {
			l.fleet.Members.Put(memberFromWire(m, asOf))
		}
	}
}

func (l *LinkClient) observerInSameDataCentre(observer string) bool {
	m, ok := l.fleet.Members.Get(ObserverVM(observer))
	return ok && m.DataCentre == l.fleet.Members.Self(clock.Now()).DataCentre
}

// header returns a message with its header fields set, and its time. See linkServer.header for why the echo is
// read before the clock.
func (l *LinkClient) header() (*peerpb.Up, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	echo := l.echo
	now := clock.Now()
	return &peerpb.Up{Tick: l.clock.Next(now), Echo: echo}, now
}

func (l *LinkClient) send(ctx context.Context) error {
	var sequence, sentRecords uint64
	for ctx.Err() == nil {
		up, now := l.header()
		up.Member = memberToWire(l.fleet.Members.Self(now), now)
		var changed <-chan struct{}
		up.Evidence, sequence, changed = l.fleet.Outgoing.since(sequence, now)
		up.Quarantine, sentRecords = l.fleet.recordsSince(sentRecords, l.address, now)
		if err := l.stream.Send(up); err != nil {
			return err
		}
		if !l.sameDataCentre {
			changed = nil // only relays in the same data centre use this node's observations
		}
		if loop.SleepOrWake(ctx, l.fleet.Heartbeat, changed) {
			loop.Sleep(ctx, minSendInterval)
		}
	}
	return ctx.Err()
}

// ObserverName returns the name of the observer that runs on m: its VM and incarnation, separated by a slash.
func ObserverName(m membership.Member) string { return m.VM + "/" + m.Incarnation }

// ObserverVM returns the VM part of an observer's name.
func ObserverVM(observer string) string {
	for i := range observer {
		if observer[i] == '/' {
			return observer[:i]
		}
	}
	return observer
}
