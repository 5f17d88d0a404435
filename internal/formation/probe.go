package formation

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// probeInterval is the least time between two probes of one endpoint.
	probeInterval = 250 * time.Millisecond
	// refusedProbeInterval is the same for one whose connections were refused: it has ended, or its path is broken.
	refusedProbeInterval = time.Second
	probeTimeout         = 300 * time.Millisecond
	// maxProbeTime is how long a probe takes at most, with the questions to other nodes. While it took longer, this process was stopped,
	// which says nothing about the endpoint.
	maxProbeTime = time.Second
	// peerProbeDelay is the time without an answer after which the other nodes are asked too: live endpoints answer
	// within about ten milliseconds. A lost member is detected 200 ms sooner than if they were asked only after
	// probeTimeout.
	peerProbeDelay = 80 * time.Millisecond
	// contactRetention is how long the results of probes are kept.
	contactRetention = 30 * time.Second
)

// contact is the probe state of one endpoint.
type contact struct {
	Contact
	lastProbe time.Time
	probing   bool
}

// recordUnansweredJoin counts a join without an answer from its endpoint as a failed probe, and lets the next step probe the
// endpoint at once. The endpoint may be dead or out of reach, or may have accepted the join and lost the answer.
func (c *Controller) recordUnansweredJoin(id string, sent time.Time) {
	k := c.contactOf(id)
	if k.LastAnswer.After(sent) {
		return
	}
	k.recordFailure(sent)
	k.lastProbe = time.Time{}
}

func (c *Controller) contactOf(id string) *contact {
	k := c.contacts[id]
	if k == nil {
		k = &contact{}
		c.contacts[id] = k
	}
	return k
}

// probeInterval returns the least time until the next probe.
func (k *contact) probeInterval() time.Duration {
	if k.Refused {
		return refusedProbeInterval
	}
	return probeInterval
}

// startProbe starts a probe of the endpoint. It does nothing if the endpoint is unknown, if a probe of it is in progress or recent, or
// if the limit is reached.
func (c *Controller) startProbe(ctx context.Context, snapshot *endpoint.Snapshot, id string, now time.Time) {
	k := c.contactOf(id)
	e := snapshot.Endpoints[id]
	if gone, ok := snapshot.Gone[id]; ok && e == nil {
		e = gone.Endpoint
	}
	if k.probing || e == nil || now.Sub(k.lastProbe) < k.probeInterval() || c.activeProbes >= maxConcurrentProbes {
		return // the next step requests the probe again if it is still needed
	}
	k.probing, k.lastProbe = true, now
	c.activeProbes++
	go c.runProbe(ctx, e, k)
}

func (c *Controller) runProbe(ctx context.Context, e *endpoint.Endpoint, k *contact) {
	sent := clock.Now()
	answer, report, evidence := c.probeWithPeers(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	k.probing = false
	c.activeProbes--
	c.work.Probes++
	if answer == NoAnswer {
		c.work.Unanswered++
	}
	wasAnswering := k.FailedSince.IsZero()
	if late := clock.Since(sent) - maxProbeTime; answer == NoAnswer && late > 0 {
		sent = sent.Add(late)
	}
	if report != nil {
		k.Report, k.ReportedAt = report, sent
		c.logDifference(e.ID, report)
	}
	switch answer {
	case Answered, AnsweredBusy:
		k.recordAnswer(answer == AnsweredBusy, sent)
	case Replaced:
		k.Refused = true
		k.recordFailure(sent)
	default:
		k.recordNoAnswer(answer, evidence, sent)
	}
	if wasAnswering != k.FailedSince.IsZero() {
		_ = level.Info(c.Logger).Log("msg", "endpoint asked", "endpoint", e.ID, "address", e.Address, "answered", answer.Heard(),
			"refused", k.Refused, "alone", !k.UnheardSince.IsZero())
	}
	c.Wake()
}

// probeWithPeers probes an endpoint and, if the answer is late or the connection is refused, asks the other nodes whether they
// can reach it.
func (c *Controller) probeWithPeers(ctx context.Context, e *endpoint.Endpoint) (ProbeResult, *Report, PeerEvidence) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	evidence := make(chan PeerEvidence, 1)
	ask := time.AfterFunc(peerProbeDelay, func() { evidence <- c.AskPeers(ctx, e) })
	defer ask.Stop()
	probeCtx, done := context.WithTimeout(ctx, probeTimeout)
	defer done()
	answer, report := c.Engine.Probe(probeCtx, e)
	switch answer {
	case NoAnswer:
		return answer, nil, awaitEvidence(ctx, evidence)
	case ConnectionRefused:
		if ask.Stop() {
			ask.Reset(0) // there is nothing to wait for
		}
		return answer, nil, awaitEvidence(ctx, evidence)
	default:
		return answer, report, NoEvidence
	}
}

// awaitEvidence waits for the evidence of the other nodes until ctx ends.
func awaitEvidence(ctx context.Context, evidence <-chan PeerEvidence) PeerEvidence {
	select {
	case e := <-evidence:
		return e
	case <-ctx.Done():
		return NoEvidence
	}
}

// recordNoAnswer records a probe without an answer, or whose connection was refused. That alone may be the fault of this node's
// path: only what other nodes find out as well counts against the endpoint. In a large fleet each probe asks different nodes;
// whenever one of them can reach the endpoint, the wait restarts.
func (k *contact) recordNoAnswer(answer ProbeResult, evidence PeerEvidence, sent time.Time) {
	switch evidence {
	case NoEvidence:
	case Reachable:
		k.recordAnswer(k.Busy, sent)
	case Unreachable:
		k.Refused = answer == ConnectionRefused
		k.recordFailure(sent)
		if k.UnheardSince.IsZero() {
			k.UnheardSince = sent
		}
	}
}

// recordAnswer records that the endpoint has answered.
func (k *contact) recordAnswer(busy bool, sent time.Time) {
	k.Contact = Contact{LastAnswer: sent, Busy: busy, Report: k.Report, ReportedAt: k.ReportedAt}
}

func (k *contact) recordFailure(at time.Time) {
	if k.FailedSince.IsZero() {
		k.FailedSince = at
	}
}

// logDifference logs that an endpoint reports another group than its entry names. Its entry may be old, or written by another program;
// or the endpoint has changed its group since the state that it reports.
func (c *Controller) logDifference(id string, report *Report) {
	e := c.Directory.Read().Endpoints[id]
	if e == nil || e.Membership.GroupName() == report.Membership.GroupName() {
		return
	}
	_ = level.Info(c.Logger).Log("msg", "endpoint reports another group than its entry", "endpoint", id, "reported", report.Membership.GroupName(),
		"listed", e.Membership.GroupName(), "sequence", report.Sequence, "revision", e.Revision)
}
