package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// defaultReportLag is the age of what an endpoint reports, for engines whose configuration does not tell it.
	defaultReportLag = 300 * time.Millisecond
	// confirmationRetention is how long what an endpoint has told is kept after it was listed: longer than its reports, which would count
	// again otherwise.
	confirmationRetention = 2 * contactRetention
)

// confirmation is what an endpoint itself has told of its membership, in a report or by its answers to this tenure's orders. Entries
// of the list are no confirmation: they may be old, or another program may have written them.
type confirmation struct {
	known      bool
	sequence   int64                // orders that the endpoint had begun by then
	membership *endpoint.Membership // nil if it was in no group
	at         time.Time            // when the report was requested, or the order answered

	reportedAt time.Time // when the last report taken into account was requested
	changedAt  time.Time // last outcome of an order; reports of a state before it do not count
	inFlight   int       // orders that have no outcome yet

	search   proofSearch
	refusals joinRefusals
}

// names reports whether the endpoint has told that it is or was in the group.
func (c *confirmation) names(group string, epoch int64) bool {
	return c.membership != nil && c.membership.Group == group && c.membership.Epoch == epoch
}

// isIn reports whether the endpoint is in the group unless it has begun another order since.
func (c *confirmation) isIn(group string, epoch int64) bool {
	return c.known && c.names(group, epoch)
}

func (p *Planner) confirmationOf(id string) *confirmation {
	c := p.confirmed[id]
	if c == nil {
		c = &confirmation{}
		p.confirmed[id] = c
	}
	return c
}

// noticeRestarts forgets what endpoints have told whose entries name another instance than before. Each instance counts its orders from zero, so
// what one has told may fit the sequence of another; and an entry of an earlier instance may be written late.
func (p *Planner) noticeRestarts(v *View) {
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		listed := endpoint.ListedID(e.ID)
		if listed == e.ID {
			continue
		}
		before := p.instances[listed]
		p.instances[listed] = e.ID
		if before != "" && before != e.ID {
			p.confirmationOf(before).forget(v.Now)
			p.confirmationOf(e.ID).forget(v.Now)
		}
	}
}

// forget makes what the endpoint has told count no longer.
func (c *confirmation) forget(now time.Time) { c.known, c.changedAt = false, now }

// takeReports updates the confirmations from the reports that have arrived. Those requested before the tenure do not count: the leader
// before has ordered the endpoints since.
func (p *Planner) takeReports(v *View) {
	for id, contact := range v.Contacts {
		if contact.Report != nil && !contact.ReportedAt.Before(p.started) {
			p.confirmationOf(id).takeReport(contact.Report, contact.ReportedAt, v.reportLag())
		}
	}
}

// takeReport takes a report into account that was requested at the given time, unless it may show a state from before the last order.
// A report of more orders than are known shows a later state whatever its age.
func (c *confirmation) takeReport(r *Report, requested time.Time, lag time.Duration) {
	if c.inFlight > 0 || !requested.After(c.reportedAt) {
		return
	}
	c.reportedAt = requested
	isLater := c.known && r.Sequence > c.sequence
	if !requested.Add(-lag).After(c.changedAt) && !isLater {
		return
	}
	c.known, c.sequence, c.membership, c.at = true, r.Sequence, r.Membership, requested
}

// recordConfirmation updates what is known of an endpoint by the outcome of an order.
func (p *Planner) recordConfirmation(o Order, outcome Outcome, now time.Time) {
	c := p.confirmationOf(o.Endpoint.ID)
	c.inFlight--
	if o.Kind == Join {
		c.refusals.record(outcome, now)
	}
	switch outcome {
	case NotSent:
		return
	case Accepted, Done:
		c.recordTaken(o, outcome)
	case Refused:
		if o.Kind != Stage {
			c.known = false
		}
	case Fenced, WrongEndpoint, Unknown:
		c.known = false
	}
	c.changedAt = now
	if c.known {
		c.at = now
	}
}

// recordTaken records an order that the endpoint has taken. Each order that begins something raises its sequence, but an answer does not tell
// whether the order has begun anything: a model that is being staged already is not staged again. Only an order that named the sequence and
// changes the membership has certainly begun it.
func (c *confirmation) recordTaken(o Order, outcome Outcome) {
	switch {
	case o.Kind == Join && outcome == Accepted && o.Sequence != nil:
		c.membership, c.sequence = o.membership(), *o.Sequence+1
	case o.Kind == Join:
		c.membership, c.known = o.membership(), false
	case o.Kind == Leave && o.Sequence != nil:
		c.membership, c.sequence = nil, *o.Sequence+1
	default:
		c.known = false
	}
}

// requestConfirmation requests a report of an endpoint that has not confirmed its membership, and reports whether it did.
func (p *Planner) requestConfirmation(v *View, id string) bool {
	c := p.confirmationOf(id)
	if c.known || !c.canReport(v) || v.unansweredFor(id) > 0 {
		return false
	}
	p.requestProbe(id)
	return true
}

// lastHeard returns when the endpoint was last asked or ordered something.
func (c *confirmation) lastHeard() time.Time {
	if c.changedAt.After(c.reportedAt) {
		return c.changedAt
	}
	return c.reportedAt
}

// canReport reports whether a report requested now shows the state after the last order.
func (c *confirmation) canReport(v *View) bool {
	return c.inFlight == 0 && v.Now.Add(-v.reportLag()).After(c.changedAt)
}

// reportLag returns how old the state is that endpoints report.
func (v *View) reportLag() time.Duration {
	if lag := v.Service.Engine.ReportLag; lag > 0 {
		return lag
	}
	return defaultReportLag
}
