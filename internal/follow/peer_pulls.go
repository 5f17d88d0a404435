package follow

import (
	"sync"
	"time"
)

const (
	// maxPullLag is how long a node may lack what another node's heartbeats announce before it no longer relies on that node.
	maxPullLag = 500 * time.Millisecond
	// failedPullPause is how long another node is not pulled from after a pull that failed late, as a multiple of the time that the pull
	// took: a node that does not answer must not hold up the heartbeats of the others. One that refuses at once holds up nobody.
	failedPullPause = 4
	lateFailure     = 50 * time.Millisecond
	// failedPullTTL is how long a failed pull counts against a node from which nothing would be pulled now.
	failedPullTTL = 10 * time.Second
)

// peerPulls records from which other nodes this node fails to pull what their heartbeats announce.
type peerPulls struct {
	mu      sync.Mutex
	lagging map[string]*pullLag // by incarnation
	pulled  time.Time           // when another node last answered a pull
}

// pullLag tells of a node whose announced changes this node lacks.
type pullLag struct {
	since    time.Time // when this node first lacked them, or last got a part
	failed   time.Time // when the last pull failed; zero if none has
	retryAt  time.Time
	reported bool
}

func newPeerPulls() *peerPulls { return &peerPulls{lagging: make(map[string]*pullLag)} }

// lack records that this node lacks what another node announces, and reports whether it may pull now.
func (p *peerPulls) lack(incarnation string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lagging[incarnation]
	if l == nil {
		l = &pullLag{since: now}
		p.lagging[incarnation] = l
	}
	return !now.Before(l.retryAt)
}

// failed records that a pull has failed, and reports whether to log that: once until the node is caught up with, and not before this
// node stops relying on it.
func (p *peerPulls) failed(incarnation string, started, now time.Time) (report bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lagging[incarnation]
	if l == nil {
		return false
	}
	l.failed = now
	if took := now.Sub(started); took >= lateFailure {
		l.retryAt = now.Add(failedPullPause * took)
	}
	if l.reported || now.Sub(l.since) <= maxPullLag {
		return false
	}
	l.reported = true
	return true
}

// answered records that another node has answered a pull. A large copy takes several pulls, so progress counts anew.
func (p *peerPulls) answered(incarnation string, progress bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulled = now
	if l := p.lagging[incarnation]; l != nil && progress {
		l.since = now
	}
}

// unneeded records that this node would pull nothing from another node now. Pulls from there that have failed lately still count: two
// watchers of the store take turns in being a source.
func (p *peerPulls) unneeded(incarnation string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.lagging[incarnation]; l != nil && now.Sub(l.failed) > failedPullTTL {
		delete(p.lagging, incarnation)
	}
}

// caughtUp records that this node lacks nothing that another node announces, and reports whether the opposite has been logged.
func (p *peerPulls) caughtUp(incarnation string) (reported bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lagging[incarnation]
	delete(p.lagging, incarnation)
	return l != nil && l.reported
}

// lag returns for how long this node has lacked what another node announces.
func (p *peerPulls) lag(incarnation string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lagging[incarnation]
	if l == nil {
		return 0
	}
	return now.Sub(l.since)
}

// lastAnswer returns when another node last answered a pull.
func (p *peerPulls) lastAnswer() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pulled
}
