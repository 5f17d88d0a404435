package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the burn of every service over all nodes asked.
type Report struct {
	Nodes    int             `json:"nodes"`
	Services []ServiceReport `json:"services"`
	Losses   []GroupLosses   `json:"losses"`
}

// ServiceReport is one service's part of a Report.
type ServiceReport struct {
	Workspace     string       `json:"workspace"`
	Service       string       `json:"service"`
	Availability  float64      `json:"objective"` // 0: none declared
	Burn          []WindowBurn `json:"burn"`
	Remaining     float64      `json:"budget_remaining"` // part of the longest window's error budget
	LatencyP50    int64        `json:"latency_p50_ms"`
	LatencyP99    int64        `json:"latency_p99_ms"`
	FirstTokenP95 int64        `json:"first_token_p95_ms"`
}

// WindowBurn is a service's burn over one window: 1 spends the error budget just in time.
type WindowBurn struct {
	Window string  `json:"window"`
	Total  int64   `json:"total"`
	Bad    int64   `json:"bad"`
	Rate   float64 `json:"rate"`
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

// merging is one service while its counts are summed up.
type merging struct {
	counts     ServiceCounts
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

func newMerging(c ServiceCounts) *merging {
	m := &merging{
		counts:     ServiceCounts{Workspace: c.Workspace, Service: c.Service, Objective: c.Objective},
		latency:    hdrhistogram.New(1, longestMillis, digits),
		firstToken: hdrhistogram.New(1, longestMillis, digits),
	}
	for _, w := range Windows {
		m.counts.Windows = append(m.counts.Windows, WindowCounts{Window: w.Name})
	}
	return m
}

func (m *merging) add(c ServiceCounts) {
	for i := range m.counts.Windows {
		for _, w := range c.Windows {
			if w.Window == m.counts.Windows[i].Window {
				m.counts.Windows[i].Total += w.Total
				m.counts.Windows[i].Bad += w.Bad
			}
		}
	}
	mergeHistogram(m.latency, c.LatencyMS)
	mergeHistogram(m.firstToken, c.FirstTokenMS)
}

func mergeHistogram(into *hdrhistogram.Histogram, encoded []byte) {
	if h, err := hdrhistogram.Decode(encoded); err == nil {
		into.Merge(h)
	}
}

func (m *merging) report() ServiceReport {
	r := ServiceReport{
		Workspace: m.counts.Workspace, Service: m.counts.Service, Availability: m.counts.Objective.Availability,
		LatencyP50: m.latency.ValueAtQuantile(50), LatencyP99: m.latency.ValueAtQuantile(99),
		FirstTokenP95: m.firstToken.ValueAtQuantile(95), Remaining: 1,
	}
	allowed := 1 - r.Availability
	for _, w := range m.counts.Windows {
		b := WindowBurn{Window: w.Window, Total: w.Total, Bad: w.Bad}
		if r.Availability > 0 && w.Total > 0 {
			b.Rate = float64(w.Bad) / float64(w.Total) / allowed
			r.Remaining = 1 - b.Rate
		}
		r.Burn = append(r.Burn, b)
	}
	return r
}
