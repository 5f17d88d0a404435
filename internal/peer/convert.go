package peer

import (
	"time"

	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/peer/peerpb"
	"moorrun.dev/moorrun/internal/replica"
)

func memberToWire(m membership.Member, now time.Time) *peerpb.Member {
	return &peerpb.Member{
		Vm: m.VM, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress, AdminAddress: m.AdminAddress,
		PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Draining: m.Draining, Revision: m.Revision, Change: m.Change,
		AgeMs: ageMillis(m.Heard, now),
	}
}

func memberFromWire(m *peerpb.Member, asOf time.Time) membership.Member {
	return membership.Member{
		VM: m.Vm, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress, AdminAddress: m.AdminAddress,
		PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Draining: m.Draining, Revision: m.Revision, Change: m.Change,
		Heard: asOf.Add(-millis(m.AgeMs)),
	}
}

func objectToWire(o infra.Object) *peerpb.StateObject {
	return &peerpb.StateObject{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
}

func objectFromWire(o *peerpb.StateObject) infra.Object {
	return infra.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
}

func observationToWire(l evidence.Observation, now time.Time) *peerpb.DomainEvidence {
	e := &peerpb.DomainEvidence{Domain: l.Domain, Observer: l.Observer, Sequence: l.Sequence, Generation: l.Generation}
	e.Groups = make([]*peerpb.GroupEvidence, len(l.Groups))
	for i, g := range l.Groups {
		e.Groups[i] = &peerpb.GroupEvidence{Id: g.ID, Birth: g.Birth, Running: g.Running, Waiting: g.Waiting, LeaderBoot: g.LeaderBoot}
		if remaining := g.Expires.Sub(now); remaining > 0 {
			e.Groups[i].RemainingMs = uint32(remaining.Milliseconds())
		}
	}
	return e
}

func observationFromWire(e *peerpb.DomainEvidence, asOf time.Time) evidence.Observation {
	l := evidence.Observation{Domain: e.Domain, Observer: e.Observer, Sequence: e.Sequence, Generation: e.Generation}
	l.Groups = make([]evidence.Group, len(e.Groups))
	for i, g := range e.Groups {
		l.Groups[i] = evidence.Group{ID: g.Id, Birth: g.Birth, Running: g.Running, Waiting: g.Waiting, LeaderBoot: g.LeaderBoot,
			Expires: asOf.Add(millis(g.RemainingMs))}
	}
	return l
}

// ReportToWire converts the last state that a VM reported.
func ReportToWire(vm string, v replica.VMView, now time.Time) *peerpb.VMReport {
	s := v.State
	return &peerpb.VMReport{
		Vm: vm, AgeMs: ageMillis(v.LastAnswer, now), Answered: v.Answered, Boot: s.Boot, Group: s.Group,
		GroupBirth: s.GroupBirth, Generation: s.Generation, Role: string(s.Role), Model: s.Model,
		Version: s.Version, Ready: s.Ready, LoadMs: uint32(s.LoadMillis), Running: uint32(s.Running), Waiting: uint32(s.Waiting),
	}
}

func reportFromWire(r *peerpb.VMReport, asOf time.Time) replica.VMView {
	return replica.VMView{
		Answered: r.Answered, LastAnswer: asOf.Add(-millis(r.AgeMs)),
		State: infra.EngineState{
			VM: r.Vm, Boot: r.Boot, Group: r.Group, GroupBirth: r.GroupBirth, Generation: r.Generation,
			Role: infra.Role(r.Role), Model: r.Model, Version: r.Version, Ready: r.Ready,
			LoadMillis: int64(r.LoadMs), Running: int(r.Running), Waiting: int(r.Waiting),
		},
	}
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ageMillis returns the time from at to now in milliseconds. It rounds up, so that the receiver never takes
// the information for newer than it is.
func ageMillis(at, now time.Time) uint32 {
	const maxAgeMillis = 1 << 31
	age := now.Sub(at)
	if age < 0 {
		return 0
	}
	return uint32(min(age.Milliseconds()+1, maxAgeMillis))
}
