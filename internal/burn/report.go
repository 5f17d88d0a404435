package burn

import (
	"cmp"
	"slices"
)

// Report is the burn of every service, summed over nodes.
type Report struct {
	Nodes    int             `json:"nodes"`
	Services []ServiceReport `json:"services"`
	Losses   []GroupLosses   `json:"losses"`
}

// Merge returns the report on the counts of several nodes. A node that is listed twice is counted once.
func Merge(nodes []NodeCounts) Report {
	seen := make(map[string]bool)
	mergers := make(map[serviceKey]*serviceMerger)
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
			if mergers[key] == nil {
				mergers[key] = newServiceMerger(c)
			}
			mergers[key].add(c)
		}
		for _, l := range n.Losses {
			if losses[l.Workspace] == nil {
				losses[l.Workspace] = &GroupLosses{Workspace: l.Workspace}
			}
			losses[l.Workspace].DowntimeSeconds += l.DowntimeSeconds
			losses[l.Workspace].StrandedSeconds += l.StrandedSeconds
		}
	}
	for _, m := range mergers {
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
