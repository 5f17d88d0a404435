package server

import (
	"sync"
	"time"
)

// appliedProof determines as of when what this process goes by is certainly current. The copy of the store is proved before its changes
// have been applied, so a proof of the copy counts only once they have.
type appliedProof struct {
	copied   func() time.Time // as of when the copy is certainly current
	sequence func() uint64    // of the newest change of the copy
	applied  func() uint64    // sequence of the copy up to which its changes have been applied

	mu         sync.Mutex
	at         time.Time
	incomplete bool // the newest object of the copy cannot be applied
}

// current returns a time as of which what has been applied is certainly current. What is applied later is current as of then, too: read
// the time first and what has been applied afterwards.
func (p *appliedProof) current() time.Time {
	at := p.copied() // read before the sequence, which then covers at least the state that it proves
	isApplied := p.applied() >= p.sequence()
	p.mu.Lock()
	defer p.mu.Unlock()
	if isApplied {
		p.advance(at)
	}
	return p.at
}

// changesApplied records that all changes of the copy that the proof of a time covers have been applied.
func (p *appliedProof) changesApplied(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(at)
}

func (p *appliedProof) advance(at time.Time) {
	if !p.incomplete && at.After(p.at) {
		p.at = at
	}
}

// setIncomplete records whether the newest object of the copy cannot be applied. No later proof counts while it is so. It must be called
// before the changes count as applied.
func (p *appliedProof) setIncomplete(incomplete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incomplete = incomplete
}
