package places

import (
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/peer/peerpb"
)

func reportToWire(model string, r allocator.Report) *peerpb.DemandRequest {
	out := &peerpb.DemandRequest{Vm: r.VM, Incarnation: r.Incarnation, Model: model, Grant: r.Grant}
	for _, a := range r.Avoid {
		out.Avoid = append(out.Avoid, &peerpb.GroupPlaces{Group: a.Group, Birth: a.Birth})
	}
	for _, s := range r.Speeds {
		out.Speeds = append(out.Speeds, &peerpb.GroupSpeed{Group: s.Group, Birth: s.Birth, Requests: uint32(s.Requests),
			FirstTokenUs: uint64(s.FirstToken.Microseconds()), ServiceUs: uint64(s.Service.Microseconds())})
	}
	for _, d := range r.Workspaces {
		out.Workspaces = append(out.Workspaces, &peerpb.WorkspaceDemand{
			Workspace: d.Workspace, Waiting: uint32(d.Waiting), Reserve: uint32(d.Reserve), Spare: uint32(d.Spare), Running: placesToWire(d.Running), Wishes: placesToWire(d.Preferred),
		})
	}
	return out
}

func reportFromWire(r *peerpb.DemandRequest) allocator.Report {
	out := allocator.Report{VM: r.Vm, Incarnation: r.Incarnation, Grant: r.Grant}
	for _, a := range r.Avoid {
		out.Avoid = append(out.Avoid, allocator.Ref{Group: a.Group, Birth: a.Birth})
	}
	for _, s := range r.Speeds {
		out.Speeds = append(out.Speeds, allocator.Speed{Group: s.Group, Birth: s.Birth, Requests: int(s.Requests),
			FirstToken: micros(s.FirstTokenUs), Service: micros(s.ServiceUs)})
	}
	for _, d := range r.Workspaces {
		out.Workspaces = append(out.Workspaces, allocator.Demand{
			Workspace: d.Workspace, Waiting: int(d.Waiting), Reserve: int(d.Reserve), Spare: int(d.Spare), Running: placesFromWire(d.Running), Preferred: placesFromWire(d.Wishes),
		})
	}
	return out
}

func micros(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }

func grantToWire(g allocator.Grant) *peerpb.DemandReply {
	out := &peerpb.DemandReply{Grant: g.Number, LifetimeMs: uint32(allocator.GrantLifetime.Milliseconds()), IntervalMs: uint32(g.Interval.Milliseconds())}
	for _, w := range g.Workspaces {
		out.Workspaces = append(out.Workspaces, &peerpb.WorkspaceGrant{Workspace: w.Workspace, Limits: placesToWire(w.Limits)})
	}
	return out
}

func grantFromWire(r *peerpb.DemandReply) allocator.Grant {
	out := allocator.Grant{Number: r.Grant, Interval: time.Duration(r.IntervalMs) * time.Millisecond}
	for _, w := range r.Workspaces {
		out.Workspaces = append(out.Workspaces, allocator.WorkspaceGrant{Workspace: w.Workspace, Limits: placesFromWire(w.Limits)})
	}
	return out
}

func placesToWire(list []allocator.Places) []*peerpb.GroupPlaces {
	out := make([]*peerpb.GroupPlaces, len(list))
	for i, p := range list {
		out[i] = &peerpb.GroupPlaces{Group: p.Group, Birth: p.Birth, Places: uint32(p.Count)}
	}
	return out
}

func placesFromWire(list []*peerpb.GroupPlaces) []allocator.Places {
	out := make([]allocator.Places, len(list))
	for i, p := range list {
		out[i] = allocator.Places{Group: p.Group, Birth: p.Birth, Count: int(p.Places)}
	}
	return out
}
