package burn

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// serviceMerger sums one service's counts over nodes.
type serviceMerger struct {
	counts     ServiceCounts
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

func newServiceMerger(c ServiceCounts) *serviceMerger {
	m := &serviceMerger{
		counts:     ServiceCounts{Workspace: c.Workspace, Service: c.Service, Objective: c.Objective},
		latency:    hdrhistogram.New(1, maxRecordedMillis, significantDigits),
		firstToken: hdrhistogram.New(1, maxRecordedMillis, significantDigits),
	}
	for _, w := range Windows {
		m.counts.Windows = append(m.counts.Windows, WindowCounts{Window: w.Name})
	}
	return m
}

func (m *serviceMerger) add(c ServiceCounts) {
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

func (m *serviceMerger) report() ServiceReport {
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
