package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

// ProofKind is why an endpoint may join another group.
type ProofKind string

const (
	// ProofNoGroup means that the endpoint itself has told that it is in no group.
	ProofNoGroup ProofKind = "no_group"
	// ProofNeverOpened means that the endpoint is in a group that this tenure planned and has never ordered to open.
	ProofNeverOpened ProofKind = "never_opened"
)

// JoinProof proves that an endpoint may join another group: as long as it has begun no further order, it is in no group, or in one
// that never serves. The join names the sequence, so that the endpoint refuses it otherwise, however late the join arrives. Only
// joinProof makes one.
type JoinProof struct {
	kind     ProofKind
	sequence int64
	at       time.Time
}

// joinProof returns the proof that the endpoint may join another group, if there is one.
func (p *Planner) joinProof(e *endpoint.Endpoint) (JoinProof, bool) {
	c := p.confirmed[e.ID]
	if c == nil || !c.known || c.inFlight > 0 {
		return JoinProof{}, false
	}
	proof := JoinProof{kind: ProofNoGroup, sequence: c.sequence, at: c.at}
	if c.membership == nil {
		return proof, true
	}
	proof.kind = ProofNeverOpened
	return proof, p.ended[c.membership.Group].neverOpened
}
