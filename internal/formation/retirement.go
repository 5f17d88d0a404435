package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// leaveAgain is after how long the order to leave is given again.
	leaveAgain = 600 * time.Millisecond
	// finishFor is how long the requests of a group with a leaving member may take to finish.
	finishFor = 1700 * time.Millisecond
)

// retirement is a group on its way out. Its members are free once its head has left, is broken or is dead:
// until then the head may take requests.
type retirement struct {
	name   string
	epoch  int64
	head   *endpoint.Endpoint
	since  time.Time
	finish time.Time // requests may finish until then
	leftAt time.Time // the order to leave was last given
}

// retire starts to end a group, giving its requests some time to finish.
func (p *Planner) retire(v *View, name string, epoch int64, head *endpoint.Endpoint, reason string, finish time.Duration) {
	if _, done := p.ended[name]; done {
		return
	}
	if r, ok := p.retiring[name]; ok {
		if until := v.Now.Add(finish); until.Before(r.finish) {
			r.finish = until
		}
		return
	}
	p.note("group retires", name, "reason", reason, "head", head.ID)
	p.bonds.retire(head.ID)
	p.retiring[name] = &retirement{name: name, epoch: epoch, head: head, since: v.Now, finish: v.Now.Add(finish)}
}

// followRetirements orders heads to leave and notes which have left.
func (p *Planner) followRetirements(v *View) {
	for name, r := range p.retiring {
		if reason := p.over(v, r); reason != "" {
			p.end(v, name, reason)
			continue
		}
		if v.Now.Before(r.finish) && v.Loads[r.head.ID] > 0 && !v.down(r.head.ID) {
			continue
		}
		if v.Now.Sub(r.leftAt) >= leaveAgain {
			r.leftAt = v.Now
			p.order(Order{Kind: Leave, Endpoint: r.head, Group: name, Epoch: r.epoch})
			p.ask(r.head.ID)
		}
	}
}

// over returns why the group certainly does not serve any more, or nothing.
func (p *Planner) over(v *View, r *retirement) string {
	e, listed := v.Snapshot.Endpoints[r.head.ID]
	switch {
	case listed && e.Revision > r.head.Revision && (e.Membership == nil || e.Membership.Group != r.name):
		return "the head has left"
	case listed && e.Membership != nil && e.Membership.Group == r.name && e.Membership.State == endpoint.Broken:
		return "the head is broken"
	case v.dead(r.head.ID):
		return "the head is dead"
	default:
		return ""
	}
}

// release forgets a retirement, if there is one.
func (p *Planner) release(name string) {
	if r, ok := p.retiring[name]; ok {
		delete(p.retiring, name)
		p.bonds.release(r.head.ID)
	}
}

func (p *Planner) end(v *View, name, reason string) {
	p.release(name)
	p.ended[name] = v.Now
	p.note("group ended", name, "reason", reason)
}
