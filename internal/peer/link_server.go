package peer

import (
	"context"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/freshness"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/peer/peerpb"
	"moorrun.dev/moorrun/internal/quarantine"
)

const (
	// memberAgeInterval is how often a link sends the time since each member was last heard from.
	memberAgeInterval = 1500 * time.Millisecond
	// memberResendInterval is how often a link sends the full entry of every live member, changed or not, so that
	// a lost update is repaired.
	memberResendInterval = 15 * time.Second
)

// linkServer is the relay's side of a link: the stream from one node.
type linkServer struct {
	fleet  *Fleet
	stream peerpb.DRPCPeer_LinkStream

	mu    sync.Mutex
	peer  membership.Member
	clock freshness.Clock
	echo  uint64

	// Last sequence numbers and times sent to the peer. Only the sending goroutine uses them.
	sentObjects      uint64
	sentObservations uint64
	sentMembers      uint64
	sentRecords      uint64
	agesSentAt       time.Time
	membersSentAt    time.Time
}

// Link implements peerpb.DRPCPeerServer. It returns when the stream ends.
func (s *Server) Link(stream peerpb.DRPCPeer_LinkStream) error {
	if err := checkDeployment(stream.Context(), s.fleet.Deployment); err != nil {
		return err
	}
	l := &linkServer{fleet: s.fleet, stream: stream}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	l.receive(first)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			up, err := stream.Recv()
			if err != nil {
				return
			}
			l.receive(up)
		}
	}()
	return l.run(ctx)
}

// run sends a message at each heartbeat, and earlier if a state object has changed. Heartbeats are aligned to
// multiples of the interval, so that a relay wakes once for all its links.
func (l *linkServer) run(ctx context.Context) error {
	due := clock.Now()
	for {
		changed := l.fleet.Mirror.Changed()
		if l.fleet.Mirror.Sequence() != l.sentObjects {
			due = earliest(due, clock.Now().Add(minSendInterval))
			changed = nil
		}
		if loop.SleepOrWake(ctx, clock.Until(due), changed) {
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := l.send(); err != nil {
			return err
		}
		due = clock.Now().Truncate(l.fleet.Heartbeat).Add(l.fleet.Heartbeat)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (l *linkServer) peerInSameDataCentre() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer.DataCentre == l.fleet.Members.Self(clock.Now()).DataCentre
}

// receiveHeader applies the header of a message and returns the time from which the ages in the message are
// counted, or false if the message echoes no known tick.
func (l *linkServer) receiveHeader(up *peerpb.Up) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.echo = up.Tick
	asOf, ok := l.clock.AsOf(up.Echo)
	if up.Member != nil {
		l.peer = memberFromWire(up.Member, asOf)
	}
	if ok {
		l.fleet.Members.Put(l.peer)
	}
	return asOf, ok
}

func (l *linkServer) receive(up *peerpb.Up) {
	asOf, ok := l.receiveHeader(up)
	if !ok {
		return
	}
	l.fleet.Contact.RecordAlive(asOf)
	l.fleet.mergeRecords(up.Quarantine, quarantine.Source{VM: l.peerVM()}, asOf)
	if !l.peerInSameDataCentre() {
		return
	}
	now := clock.Now()
	for _, e := range up.Evidence {
		observation := observationFromWire(e, asOf)
		observation.SameDataCentre = true
		l.fleet.Observations.Put(observation, now)
		for _, r := range e.Vms {
			l.fleet.Reports.Put(r.Vm, reportFromWire(r, asOf))
		}
	}
}

// header returns a message with its header fields set, and its time. The echo is read before the clock: ages in
// the message are relative to the returned time, but the peer counts them from the time it sent the echoed tick,
// which must not be later.
func (l *linkServer) header() (*peerpb.Down, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	echo := l.echo
	now := clock.Now()
	return &peerpb.Down{Tick: l.clock.Next(now), Echo: echo}, now
}

func (l *linkServer) send() error {
	down, now := l.header()
	objects, sequence := l.fleet.Mirror.Since(l.sentObjects)
	l.sentObjects = sequence
	for _, o := range objects {
		down.Objects = append(down.Objects, objectToWire(o))
	}
	l.addObservations(down, now)
	l.addMembers(down, now)
	down.Quarantine, l.sentRecords = l.fleet.recordsSince(l.sentRecords, l.peerVM(), now)
	return l.stream.Send(down)
}

// addObservations adds the observations that have changed. Peers in this data centre get those of all data centres,
// other peers only those made in this data centre. A peer's own observations are not sent back to it.
func (l *linkServer) addObservations(down *peerpb.Down, now time.Time) {
	observations, sequence := l.fleet.Observations.Since(l.sentObservations)
	l.sentObservations = sequence
	sameDataCentre := l.peerInSameDataCentre()
	for _, observation := range observations {
		if (sameDataCentre || observation.SameDataCentre) && !l.observedByPeer(observation) {
			down.Evidence = append(down.Evidence, observationToWire(observation, now))
		}
	}
}

func (l *linkServer) observedByPeer(observation evidence.Observation) bool {
	return ObserverVM(observation.Observer) == l.peerVM()
}

func (l *linkServer) peerVM() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer.VM
}

// addMembers adds the members that have changed, all live members every memberResendInterval, and the time since
// each live member was last heard from every memberAgeInterval. Peers in other data centres get only the members
// of this one.
func (l *linkServer) addMembers(down *peerpb.Down, now time.Time) {
	changed, sequence := l.fleet.Members.Since(l.sentMembers, now)
	l.sentMembers = sequence
	if now.Sub(l.membersSentAt) >= memberResendInterval {
		changed = l.fleet.Members.Live(now)
		l.membersSentAt = now
	}
	self := l.fleet.Members.Self(now)
	sameDataCentre := l.peerInSameDataCentre()
	for _, m := range changed {
		if sameDataCentre || m.DataCentre == self.DataCentre {
			down.Members = append(down.Members, memberToWire(m, now))
		}
	}
	if now.Sub(l.agesSentAt) < memberAgeInterval {
		return
	}
	l.agesSentAt = now
	for _, m := range l.fleet.Members.Live(now) {
		if sameDataCentre || m.DataCentre == self.DataCentre {
			down.Alive = append(down.Alive, &peerpb.Alive{Vm: m.VM, Incarnation: m.Incarnation, AgeMs: ageMillis(m.Heard, now)})
		}
	}
}
