package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// disputeGrace is how long an endpoint may tell that it is in a group that its entry does not name before it is ordered to leave.
	// Its entry may be on its way.
	disputeGrace = 2500 * time.Millisecond
	// proofTimeout is how long the other free endpoints of a domain wait for one whose proof is missing. Groups formed without it would
	// be of the model that needs the fewest members.
	proofTimeout = 500 * time.Millisecond
	// overdueProofInterval is the interval at which a proof is sought that has not come within proofTimeout.
	overdueProofInterval = time.Second
	// maxProofsSought is the number of endpoints for which proofs are sought at a time. A leader that is short of processor time
	// reads the answers to more of them too late.
	maxProofsSought = 32
)

// proofSearch is the search for a proof that a free endpoint may join a group.
type proofSearch struct {
	since         time.Time // zero if it has not begun
	last          time.Time // when the proof was last sought
	disputedSince time.Time // since when the endpoint tells of a group that its entry does not name; zero if it does not
}

// isOverdue reports whether a proof has been sought in vain for so long that nothing waits for it any more.
func (s *proofSearch) isOverdue(now time.Time) bool {
	return !s.disputedSince.IsZero() || !s.since.IsZero() && now.Sub(s.since) >= proofTimeout
}

// seekProof probes a free endpoint whose membership is not confirmed, and orders one to leave that is still in a group.
func (p *Planner) seekProof(v *View, e *endpoint.Endpoint, c *confirmation) {
	if c.search.since.IsZero() {
		c.search.since = v.Now
	}
	if c.search.isOverdue(v.Now) && v.Now.Sub(c.search.last) < overdueProofInterval {
		return
	}
	c.search.last = v.Now
	switch {
	case c.inFlight > 0:
	case !c.known:
		p.requestConfirmation(v, e.ID)
	case e.Membership != nil && c.isIn(e.Membership.Group, e.Membership.Epoch):
		p.orderToLeave(v, e, c.membership.Group, c.membership.Epoch, "it has not told that it has left")
	default:
		p.resolveDispute(v, e, c)
	}
}

// resolveDispute handles a free endpoint that tells that it is in a group which its entry does not name.
func (p *Planner) resolveDispute(v *View, e *endpoint.Endpoint, c *confirmation) {
	p.requestProbe(e.ID)
	if c.search.disputedSince.IsZero() {
		c.search.disputedSince = v.Now
	}
	if v.Now.Sub(c.search.disputedSince) > disputeGrace && c.reportedAt.After(c.search.disputedSince) {
		p.orderToLeave(v, e, c.membership.Group, c.membership.Epoch, "its entry names another group or none")
	}
}
