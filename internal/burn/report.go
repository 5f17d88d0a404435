package burn

import (
	"cmp"
	"slices"
)

// Report is the burn of every service over all nodes asked.
type Report struct {
	Nodes    int             `json:"nodes"`
	Services []ServiceReport `json:"services"`
	Losses   []GroupLosses   `json:"losses"`
}

// Merge makes the report from the snapshots of many nodes; a node that stands twice counts once.
func Merge(nodes []NodeCounts) Report {
	seen := make(map[string]bool)
	merged := make(map[serviceKey]*merging)
	losses := make(map[string]*GroupLosses)
	report := Report{}
	for _, n := range nodes {
		id := n.VM + "/" + n.Incarnation
		if seen[id] {
			continue
		}
		seen[id] = true
		report.Nodes++
		for _, c := range n.Services {
			key := serviceKey{c.Workspace, c.Service}
			if merged[key] == nil {
				merged[key] = newMerging(c)
			}
			merged[key].add(c)
		}
		for _, l := range n.Losses {
			if losses[l.Workspace] == nil {
				losses[l.Workspace] = &GroupLosses{Workspace: l.Workspace}
			}
			losses[l.Workspace].DowntimeSeconds += l.DowntimeSeconds
			losses[l.Workspace].StrandedSeconds += l.StrandedSeconds
		}
	}
	for _, m := range merged {
		report.Services = append(report.Services, m.report())
	}
	for _, l := range losses {
		report.Losses = append(report.Losses, *l)
	}
	slices.SortFunc(report.Services, func(a, b ServiceReport) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
	slices.SortFunc(report.Losses, func(a, b GroupLosses) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return report
}
