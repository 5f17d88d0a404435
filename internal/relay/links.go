// Package relay selects the nodes that distribute the platform's state, and maintains the links to them.
//
// The relays of a data centre are the two highest-ranked of its nodes that answer. Only relays watch the
// platform's store and compete for the data centre's lease. The data centre's other nodes and the relays of other
// data centres link to them.
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
	// relaysPerDataCentre is the number of relays of a data centre.
	relaysPerDataCentre = 2
	// reviewEvery is the interval at which the selection of relays is repeated.
	reviewEvery = 200 * time.Millisecond
	// linkUpFor is how long a link counts as up after the last instant at which its relay is known to have been alive.
	linkUpFor = 1500 * time.Millisecond
	// connectGrace is how long a new link may take to come up before a link to another node is started as well.
	connectGrace = 600 * time.Millisecond
	// redialAfter is the delay before a broken link is dialled again.
	redialAfter = 500 * time.Millisecond
	// releaseAfter is how long a link is kept after the last review that required it.
	releaseAfter = 3 * time.Second
)

// Links maintains this node's links to relays and reports whether the node is a relay itself.
type Links struct {
	fleet      *peer.Fleet
	seeds      []string
	registered *mirror.View[membership.Member]

	mu      sync.Mutex
	links   map[string]*link // by peer address
	isRelay bool
	wg      sync.WaitGroup
}

// link is the link to one node.
type link struct {
	address        string
	sameDataCentre bool
	cancel         context.CancelFunc
	started        time.Time
	aliveAt        time.Time // latest instant at which the relay is known to have been alive
	lastRequired   time.Time // time of the last review that required the link
}

// NewLinks returns Links without any link. The peer addresses in seeds are tried while no link is up.
func NewLinks(fleet *peer.Fleet, seeds []string) *Links {
	return &Links{fleet: fleet, seeds: seeds, registered: mirror.NewView[membership.Member](fleet.Mirror), links: make(map[string]*link)}
}

// IsRelay reports whether this node is currently a relay of its data centre.
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

func (k *link) up(now time.Time) bool { return now.Sub(k.aliveAt) < linkUpFor }

// Run maintains the links until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	loop.Every(ctx, reviewEvery, func(now time.Time) { l.review(ctx, now) })
	l.wg.Wait()
	return nil
}

func (l *Links) review(ctx context.Context, now time.Time) {
	self := l.fleet.Members.Self(now)
	known := l.knownNodes(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isRelay = l.linkToRelays(ctx, self, known[self.DataCentre], now)
	if l.isRelay {
		for dc, members := range known {
			if dc != self.DataCentre {
				l.linkToRelays(ctx, self, members, now)
			}
		}
	}
	if !l.anyUp(now) {
		for _, address := range l.seeds {
			if address != self.PeerAddress {
				l.ensureLink(ctx, address, false, now)
			}
		}
	}
	for address, k := range l.links {
		if now.Sub(k.lastRequired) > releaseAfter {
			k.cancel()
			delete(l.links, address)
		}
	}
}

// knownNodes returns all registered and all live nodes, by data centre. For a VM that is both, it returns the live
// record.
func (l *Links) knownNodes(now time.Time) map[string][]membership.Member {
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

// linkToRelays ensures links to the highest-ranked members that answer, and reports whether self is one of these.
func (l *Links) linkToRelays(ctx context.Context, self membership.Member, members []membership.Member, now time.Time) bool {
	found := 0
	selfIsRelay := false
	for _, m := range membership.Rank("relay", members) {
		if found == relaysPerDataCentre {
			break
		}
		if m.VM == self.VM {
			selfIsRelay = true
			found++
			continue
		}
		if l.ensureLink(ctx, m.PeerAddress, m.DataCentre == self.DataCentre, now) {
			found++
		}
	}
	return selfIsRelay
}

// ensureLink starts the link to address if there is none, marks it as required, and reports whether it is up or still
// within connectGrace.
func (l *Links) ensureLink(ctx context.Context, address string, sameDataCentre bool, now time.Time) bool {
	k, ok := l.links[address]
	if !ok {
		k = &link{address: address, sameDataCentre: sameDataCentre, started: now}
		l.links[address] = k
		var linkCtx context.Context
		linkCtx, k.cancel = context.WithCancel(ctx)
		l.wg.Go(func() { l.maintain(linkCtx, k) })
	}
	k.lastRequired = now
	return k.up(now) || now.Sub(k.started) < connectGrace
}

// maintain runs the link, and runs it again after redialAfter whenever it breaks, until ctx ends.
func (l *Links) maintain(ctx context.Context, k *link) {
	for ctx.Err() == nil {
		_ = peer.RunLink(ctx, l.fleet, k.address, k.sameDataCentre, func(at time.Time) {
			l.mu.Lock()
			k.aliveAt = at
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
