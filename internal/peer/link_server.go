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
)

const (
	// memberRefresh is how often it is told when each member was last heard.
	memberRefresh = 1500 * time.Millisecond
	// memberResend is how often every live member is sent whole all the same, so that nothing missed stays missed.
	memberResend = 15 * time.Second
)

// linkServer is the relay's side of one link.
type linkServer struct {
	fleet  *Fleet
	stream peerpb.DRPCPeer_LinkStream

	mu    sync.Mutex
	peer  membership.Member
	clock freshness.Clock
	echo  uint64

	// what has been sent, for the sending goroutine only
	objects   uint64
	looks     uint64
	members   uint64
	refreshed time.Time
	resent    time.Time
}

// Link implements the drpc service.
func (s *Server) Link(stream peerpb.DRPCPeer_LinkStream) error {
	l := &linkServer{fleet: s.fleet, stream: stream}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	l.take(first)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			up, err := stream.Recv()
			if err != nil {
				return
			}
			l.take(up)
		}
	}()
	return l.run(ctx)
}

// run sends at each heartbeat, and sooner when the state has changed. Heartbeats of all links fall together, so
// that a relay wakes once for them all.
func (l *linkServer) run(ctx context.Context) error {
	due := clock.Now()
	for {
		changed := l.fleet.Mirror.Changed()
		if l.fleet.Mirror.Sequence() != l.objects {
			due = earliest(due, clock.Now().Add(upGap))
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

func (l *linkServer) near() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer.DataCentre == l.fleet.Members.Self(clock.Now()).DataCentre
}

// heard takes in the header of a message and returns the instant its content counts from.
func (l *linkServer) heard(up *peerpb.Up) (time.Time, bool) {
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

func (l *linkServer) take(up *peerpb.Up) {
	asOf, ok := l.heard(up)
	if !ok {
		return
	}
	l.fleet.Contact.Heard(asOf)
	if !l.near() {
		return
	}
	now := clock.Now()
	for _, e := range up.Evidence {
		look := lookFromWire(e, asOf)
		look.SameDataCentre = true
		l.fleet.Looks.Put(look, now)
		for _, r := range e.Vms {
			l.fleet.Reports.Put(r.Vm, reportFromWire(r, asOf))
		}
	}
}

// header starts a message. Its echo is read before the clock: ages in the message are counted to that instant,
// and the other side counts them from the sending of the echoed tick, which must not be later.
func (l *linkServer) header() (*peerpb.Down, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	echo := l.echo
	now := clock.Now()
	return &peerpb.Down{Tick: l.clock.Next(now), Echo: echo}, now
}

func (l *linkServer) send() error {
	down, now := l.header()
	objects, sequence := l.fleet.Mirror.Since(l.objects)
	l.objects = sequence
	for _, o := range objects {
		down.Objects = append(down.Objects, objectToWire(o))
	}
	l.addLooks(down, now)
	l.addMembers(down, now)
	return l.stream.Send(down)
}

// addLooks adds the changed looks: all to nodes of the own data centre, the own data centre's to others.
func (l *linkServer) addLooks(down *peerpb.Down, now time.Time) {
	looks, sequence := l.fleet.Looks.Since(l.looks)
	l.looks = sequence
	near := l.near()
	for _, look := range looks {
		if (near || look.SameDataCentre) && !l.own(look) {
			down.Evidence = append(down.Evidence, lookToWire(look, now))
		}
	}
}

func (l *linkServer) own(look evidence.Observation) bool {
	return ObserverVM(look.Observer) == l.peerVM()
}

func (l *linkServer) peerVM() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer.VM
}

// addMembers adds the members that changed, and now and then when each was last heard.
func (l *linkServer) addMembers(down *peerpb.Down, now time.Time) {
	changed, sequence := l.fleet.Members.Since(l.members, now)
	l.members = sequence
	if now.Sub(l.resent) >= memberResend {
		changed = l.fleet.Members.Live(now)
		l.resent = now
	}
	self := l.fleet.Members.Self(now)
	near := l.near()
	for _, m := range changed {
		if near || m.DataCentre == self.DataCentre {
			down.Members = append(down.Members, memberToWire(m, now))
		}
	}
	if now.Sub(l.refreshed) < memberRefresh {
		return
	}
	l.refreshed = now
	for _, m := range l.fleet.Members.Live(now) {
		if near || m.DataCentre == self.DataCentre {
			down.Alive = append(down.Alive, &peerpb.Alive{Vm: m.VM, Incarnation: m.Incarnation, AgeMs: ageMillis(m.Heard, now)})
		}
	}
}
