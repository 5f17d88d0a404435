// Package reach tells apart an endpoint that cannot be reached by any node and a node that has lost its path to endpoints.
package reach

import (
	"context"
	"net"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// Dial opens a TCP connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

const (
	// sampleSize is how many other endpoints are dialed after a connection has failed. If none of them can be reached either, the
	// fault is this node's path. An incident that ends a sixth of the endpoints is taken for one of the path once in 200 times,
	// until the next check.
	sampleSize = 3
	// sampleTimeout bounds one such dial. Endpoints of the same region accept connections within a few milliseconds.
	sampleTimeout = 150 * time.Millisecond
	// evidenceAge is how long a connection to any endpoint shows that this node has a path to endpoints.
	evidenceAge = 300 * time.Millisecond
	// recheckInterval is the interval between two checks while this node is isolated.
	recheckInterval = 300 * time.Millisecond
)

// Monitor determines whether this node is isolated: it cannot connect to any endpoint. It checks that only after a connection to
// an endpoint has failed.
type Monitor struct {
	// Dial connects to an endpoint without the help of other nodes.
	Dial Dial
	// Sample returns the addresses of up to n endpoints other than the given one, chosen at random.
	Sample func(except string, n int) []string
	// OnChange is called when the node becomes isolated or ceases to be; it must not block.
	OnChange func(isolated bool)

	mu            sync.Mutex
	lastConnected time.Time     // when a connection to an endpoint was last made
	checking      chan struct{} // closed at the end of the check in progress; nil if there is none
	isolated      bool
}

// Isolated reports whether this node has been found to reach no endpoint.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// Connected records that a connection to an endpoint has been made.
func (m *Monitor) Connected(now time.Time) {
	m.mu.Lock()
	m.lastConnected = now
	changed := m.isolated
	m.isolated = false
	m.mu.Unlock()
	if changed {
		m.OnChange(false)
	}
}

// Failed records that the connection to an endpoint has failed, and starts a check unless there is evidence of a path.
func (m *Monitor) Failed(address string) {
	if m.hasEvidence() {
		return
	}
	m.startCheck(address)
}

// ReachesOthers reports whether this node can connect to endpoints other than the one at the given address. It returns true if
// none is known, and false if ctx ends before the check does.
func (m *Monitor) ReachesOthers(ctx context.Context, address string) bool {
	if m.hasEvidence() {
		return true
	}
	select {
	case <-m.startCheck(address):
		return !m.Isolated()
	case <-ctx.Done():
		return false
	}
}

func (m *Monitor) hasEvidence() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.isolated && clock.Since(m.lastConnected) < evidenceAge
}

// startCheck starts a check unless one is in progress, and returns a channel that is closed at the end of its first round.
func (m *Monitor) startCheck(address string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checking == nil {
		m.checking = make(chan struct{})
		go m.check(address, m.checking)
	}
	return m.checking
}

// check dials other endpoints, and goes on doing so as long as none of them can be reached.
func (m *Monitor) check(address string, firstRound chan struct{}) {
	for round := 0; ; round++ {
		reached := m.reachesAny(m.Sample(address, sampleSize))
		m.mu.Lock()
		changed := reached == m.isolated
		m.isolated = !reached
		if reached {
			m.checking = nil
		}
		m.mu.Unlock()
		if changed {
			m.OnChange(!reached)
		}
		if round == 0 {
			close(firstRound)
		}
		if reached {
			return
		}
		time.Sleep(recheckInterval)
		address = "" // it may have become reachable again
	}
}

// reachesAny reports whether any of the addresses accepts a connection, or whether there are none. Most checks end with the first
// dial.
func (m *Monitor) reachesAny(addresses []string) bool {
	if len(addresses) == 0 || m.accepts(addresses[0]) {
		return true
	}
	results := make(chan bool, len(addresses))
	for _, address := range addresses[1:] {
		go func() { results <- m.accepts(address) }()
	}
	reached := false
	for range addresses[1:] {
		reached = <-results || reached
	}
	return reached
}

func (m *Monitor) accepts(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	c, err := m.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = c.Close()
	m.mu.Lock()
	m.lastConnected = clock.Now()
	m.mu.Unlock()
	return true
}
