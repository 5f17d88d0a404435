package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

// silentView returns a view of two open groups of two members each.
func silentView(now time.Time) *View {
	d := endpoint.NewDirectory(time.Second)
	var list []*endpoint.Endpoint
	for i, id := range []string{"a0", "a1", "b0", "b1"} {
		state := endpoint.Ready
		if i%2 == 0 {
			state = endpoint.Open
		}
		list = append(list, &endpoint.Endpoint{
			ID: id, Service: "lm", Domain: id[:1], Models: []string{"small"}, Membership: &endpoint.Membership{Group: id[:1], Epoch: 1, Rank: i % 2, State: state},
		})
	}
	d.Apply(list, nil, now)
	return &View{Now: now, Service: testService(), Snapshot: d.Read(), Contacts: make(map[string]Contact), SuspectGroups: map[string]bool{"a": true, "b": true}}
}

// lostGroups returns the groups in which the planner finds a lost member.
func lostGroups(p *Planner, v *View) map[string]bool {
	lost := make(map[string]bool)
	for name, g := range v.Snapshot.Groups {
		if is, _ := p.findLostMember(v, g); is {
			lost[name] = true
		}
	}
	return lost
}

// Guards against ending all groups when all endpoints are silent for some seconds and then go on together.
func TestNoMemberIsLostWhileAllEndpointsAreSilent(t *testing.T) {
	p, now := NewPlanner(1, origin), origin.Add(time.Minute)
	v := silentView(now)
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		v.Contacts[id] = Contact{FailedSince: now.Add(-3 * time.Second)}
	}
	qt.Check(t, lostGroups(p, v), qt.HasLen, 0)
	v.Now = now.Add(100 * time.Millisecond)
	v.Contacts["a0"] = Contact{LastAnswer: now}
	qt.Check(t, lostGroups(p, v), qt.HasLen, 0, qt.Commentf("the others may be about to go on, too"))
	v.Now = now.Add(downAfter)
	qt.Check(t, lostGroups(p, v), qt.DeepEquals, map[string]bool{"a": true, "b": true}, qt.Commentf("they have not"))
}

// Guards against finding the loss of a member, or of a whole group, later because others have to answer first.
func TestLossIsFoundAtOnceIfOthersAnswer(t *testing.T) {
	p, now := NewPlanner(1, origin), origin.Add(time.Minute)
	v := silentView(now)
	failed := now.Add(-downAfter)
	v.Contacts["a0"], v.Contacts["a1"] = Contact{FailedSince: failed.Add(time.Second)}, Contact{FailedSince: failed.Add(time.Second)}
	qt.Check(t, lostGroups(p, v), qt.HasLen, 0)
	qt.Check(t, p.toProbe["b0"] || p.toProbe["b1"], qt.IsTrue, qt.Commentf("endpoints of other groups are probed before the members count as down"))
	v.Contacts["b0"] = Contact{LastAnswer: failed.Add(time.Second + time.Millisecond)}
	v.Contacts["a0"] = Contact{FailedSince: failed}
	qt.Check(t, lostGroups(p, v), qt.DeepEquals, map[string]bool{"a": true})
}

// Guards against keeping a group one of whose members has restarted, or is gone from its address, because all others are silent.
func TestMemberThatIsGoneIsLostWhileAllEndpointsAreSilent(t *testing.T) {
	p, now := NewPlanner(1, origin), origin.Add(time.Minute)
	v := silentView(now)
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		v.Contacts[id] = Contact{FailedSince: now.Add(-3 * time.Second)}
	}
	v.Contacts["a1"] = Contact{FailedSince: now, Refused: true}
	qt.Check(t, lostGroups(p, v), qt.DeepEquals, map[string]bool{"a": true})
}
