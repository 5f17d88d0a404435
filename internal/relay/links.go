// Package relay decides which nodes pass on what the platform says, and keeps the links to them.
//
// The relays of a data centre are the two highest-ranked of its nodes that answer. Only they watch the
// platform's store and contend for the data centre's lease; everyone else links to them.
package relay

import (
	"context"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/peer"
)

const (
	// perDataCentre is how many relays a data centre has.
	perDataCentre = 2
	// reviewEvery is how often the choice of relays is reviewed.
	reviewEvery = 200 * time.Millisecond
	// answersFor is how long a link counts as up after its relay was certainly alive.
	answersFor = 1500 * time.Millisecond
	// connectGrace is how long a link that is being set up is waited for before another is tried too.
	connectGrace = 600 * time.Millisecond
	// redialAfter is the pause before a broken link is tried again.
	redialAfter = 500 * time.Millisecond
	// releaseAfter is how long a link that is no longer wanted is kept.
	releaseAfter = 3 * time.Second
)

// Links keeps this node's links and knows whether it is a relay itself.
type Links struct {
	fleet      *peer.Fleet
	seeds      []string
	registered *mirror.View[membership.Member]

	mu      sync.Mutex
	links   map[string]*link // by peer address
	isRelay bool
	wg      sync.WaitGroup
}

// link is one kept link.
type link struct {
	address string
	near    bool
	cancel  context.CancelFunc
	started time.Time
	upAt    time.Time // the relay was certainly alive then
	wanted  time.Time // last review that wanted the link
}

// NewLinks returns Links without any; seeds are peer addresses to try when nothing else is known.
func NewLinks(fleet *peer.Fleet, seeds []string) *Links {
	return &Links{fleet: fleet, seeds: seeds, registered: mirror.NewView[membership.Member](fleet.Mirror), links: make(map[string]*link)}
}

// IsRelay reports whether this node is one of its data centre's relays now.
func (l *Links) IsRelay() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isRelay
}

// Addresses returns the peer addresses of the links that are up.
func (l *Links) Addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	var out []string
	for address, k := range l.links {
		if k.up(now) {
			out = append(out, address)
		}
	}
	return out
}

func (k *link) up(now time.Time) bool { return now.Sub(k.upAt) < answersFor }

// Run keeps the links until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	loop.Every(ctx, reviewEvery, func(now time.Time) { l.review(ctx, now) })
	l.wg.Wait()
	return nil
}

func (l *Links) review(ctx context.Context, now time.Time) {
	self := l.fleet.Members.Self(now)
	known := l.known(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isRelay = l.choose(ctx, self, known[self.DataCentre], now)
	if l.isRelay {
		for dc, members := range known {
			if dc != self.DataCentre {
				l.choose(ctx, self, members, now)
			}
		}
	}
	if !l.anyUp(now) {
		for _, address := range l.seeds {
			if address != self.PeerAddress {
				l.want(ctx, address, false, now)
			}
		}
	}
	for address, k := range l.links {
		if now.Sub(k.wanted) > releaseAfter {
			k.cancel()
			delete(l.links, address)
		}
	}
}

// known returns every registered or heard node by data centre.
func (l *Links) known(now time.Time) map[string][]membership.Member {
	byVM := make(map[string]membership.Member)
	for _, m := range l.registered.All(keys.Nodes) {
		byVM[m.VM] = *m
	}
	for _, m := range l.fleet.Members.Live(now) {
		byVM[m.VM] = m
	}
	out := make(map[string][]membership.Member)
	for _, m := range byVM {
		out[m.DataCentre] = append(out[m.DataCentre], m)
	}
	return out
}

// choose wants links to the highest-ranked members that answer, and reports whether self is among them.
func (l *Links) choose(ctx context.Context, self membership.Member, members []membership.Member, now time.Time) bool {
	found := 0
	among := false
	for _, m := range membership.Rank("relay", members) {
		if found == perDataCentre {
			break
		}
		if m.VM == self.VM {
			among = true
			found++
			continue
		}
		if l.want(ctx, m.PeerAddress, m.DataCentre == self.DataCentre, now) {
			found++
		}
	}
	return among
}

// want keeps or starts the link to address and reports whether it is up or may yet come up.
func (l *Links) want(ctx context.Context, address string, near bool, now time.Time) bool {
	k, ok := l.links[address]
	if !ok {
		k = &link{address: address, near: near, started: now}
		l.links[address] = k
		var linkCtx context.Context
		linkCtx, k.cancel = context.WithCancel(ctx)
		l.wg.Go(func() { l.keep(linkCtx, k) })
	}
	k.wanted = now
	return k.up(now) || now.Sub(k.started) < connectGrace
}

// keep runs the link again whenever it breaks.
func (l *Links) keep(ctx context.Context, k *link) {
	for ctx.Err() == nil {
		_ = peer.RunLink(ctx, l.fleet, k.address, k.near, func(at time.Time) {
			l.mu.Lock()
			k.upAt = at
			l.mu.Unlock()
		})
		loop.Sleep(ctx, redialAfter)
	}
}

func (l *Links) anyUp(now time.Time) bool {
	for _, k := range l.links {
		if k.up(now) {
			return true
		}
	}
	return false
}
