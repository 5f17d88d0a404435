package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// leaveRetryInterval is the interval at which the order to leave is repeated.
	leaveRetryInterval = 600 * time.Millisecond
	// drainTimeout is how long the requests of a group may take to finish if a member is leaving or its members are
	// needed for another model.
	drainTimeout = 1700 * time.Millisecond
	// confirmationTimeout is how long orders to leave wait for reports of the members. Endpoints answer within some ten milliseconds.
	confirmationTimeout = 100 * time.Millisecond
)

// retirement is a group that is being ended: its head is ordered to leave, and gets no new requests. It is over once the head has left, is
// broken or has restarted according to its answer or its entry. If the head seems to be dead, its members are ordered to leave.
type retirement struct {
	name           string
	epoch          int64
	head           *endpoint.Endpoint
	since          time.Time
	drainDeadline  time.Time // requests may finish until then
	leaveOrderedAt time.Time // time of the last order to leave
}

// retire starts to end a group, giving its requests drainTime to finish. If the group retires already, it can only
// shorten that time.
func (p *Planner) retire(v *View, name string, epoch int64, head *endpoint.Endpoint, reason string, drainTime time.Duration) {
	if _, done := p.ended[name]; done {
		return
	}
	if r, ok := p.retiring[name]; ok {
		if until := v.Now.Add(drainTime); until.Before(r.drainDeadline) {
			r.drainDeadline = until
		}
		return
	}
	p.note("group retires", name, "reason", reason, "head", head.ID)
	p.commitments.addRetirement(head.ID)
	p.retiring[name] = &retirement{name: name, epoch: epoch, head: head, since: v.Now, drainDeadline: v.Now.Add(drainTime)}
}

// advanceRetirements orders heads to leave and frees the members of groups whose head no longer serves. The members of a head that seems to
// be dead are ordered to leave.
func (p *Planner) advanceRetirements(v *View) {
	for name, r := range p.retiring {
		if reason := p.endReason(v, r); reason != "" {
			p.endGroup(v, name, reason)
			continue
		}
		if v.isLeft(r) {
			p.removeRetirement(name)
			p.note("group left", name, "head", r.head.ID)
			continue
		}
		if v.seemsDead(r.head.ID) {
			p.requestProbe(r.head.ID)
			p.orderMembersToLeave(v, v.Snapshot.Groups[name], "the head does not answer")
			continue
		}
		awaited := p.awaitsConfirmation(v, r)
		if awaited || v.Now.Before(r.drainDeadline) && v.Loads[r.head.ID] > 0 && !v.isDown(r.head.ID) {
			continue
		}
		if v.Now.Sub(r.leaveOrderedAt) >= leaveRetryInterval {
			r.leaveOrderedAt = v.Now
			p.addOrder(Order{Kind: Leave, Endpoint: r.head, Group: name, Epoch: r.epoch})
			p.requestProbe(r.head.ID)
			if _, lost := p.lostAt[name]; lost || v.Loads[r.head.ID] == 0 {
				p.orderMembersToLeave(v, v.Snapshot.Groups[name], "its group ends")
			}
		}
	}
}

// awaitsConfirmation requests reports of the members of a group that has just begun to retire and have not confirmed their membership, and
// reports whether any is likely to come soon. With the sequence from before the order to leave, each can join another group as soon as it
// has left; afterwards a report has to wait until it shows the state after the order.
func (p *Planner) awaitsConfirmation(v *View, r *retirement) bool {
	if v.Now.Sub(r.since) >= confirmationTimeout {
		return false
	}
	awaited := p.requestConfirmation(v, r.head.ID)
	if g := v.Snapshot.Groups[r.name]; g != nil {
		for id := range g.Members {
			awaited = p.requestConfirmation(v, id) || awaited
		}
	}
	return awaited
}

// isLeft reports whether no listed endpoint is in the group.
func (v *View) isLeft(r *retirement) bool {
	if _, listed := v.Snapshot.Endpoints[r.head.ID]; listed {
		return false // its entry may be older than the group
	}
	g := v.Snapshot.Groups[r.name]
	return g == nil || g.Epoch != r.epoch
}

// endReason returns why the group certainly no longer serves, or "".
func (p *Planner) endReason(v *View, r *retirement) string {
	e, listed := v.Snapshot.Endpoints[r.head.ID]
	switch {
	case listed && e.Revision > r.head.Revision && (e.Membership == nil || e.Membership.Group != r.name):
		return "the head has left"
	case listed && e.Membership != nil && e.Membership.Group == r.name && e.Membership.State == endpoint.Broken:
		return "the head is broken"
	case v.Snapshot.Gone[r.head.ID].Restarted:
		return "the head has restarted"
	default:
		return ""
	}
}

// groupEnd is the record of a group that has ended or is believed to have.
type groupEnd struct {
	at          time.Time
	neverOpened bool // this tenure planned the group and has never ordered it to open
}

// recordLeave records that an endpoint is no longer in a group. The group ends with its head.
func (p *Planner) recordLeave(o Order, now time.Time) {
	p.left[o.Endpoint.ID] = o.Group
	r, retiring := p.retiring[o.Group]
	if !retiring || r.head.ID != o.Endpoint.ID {
		return
	}
	p.removeRetirement(o.Group)
	p.ended[o.Group] = groupEnd{at: now}
	p.note("group ended", o.Group, "reason", "the head has answered that it left")
}

// removeRetirement removes the retirement of a group, if there is one.
func (p *Planner) removeRetirement(name string) {
	if r, ok := p.retiring[name]; ok {
		delete(p.retiring, name)
		p.commitments.removeRetirement(r.head.ID)
	}
}

func (p *Planner) endGroup(v *View, name, reason string) {
	p.removeRetirement(name)
	p.ended[name] = groupEnd{at: v.Now}
	p.note("group ended", name, "reason", reason)
}
