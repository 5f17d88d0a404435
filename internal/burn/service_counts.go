package burn

import "moorrun.dev/moorrun/internal/config"

// ServiceCounts holds one node's counts for one model or service.
type ServiceCounts struct {
	Workspace    string           `json:"workspace"`
	Service      string           `json:"service"`
	Objective    config.Objective `json:"objective"`
	Windows      []WindowCounts   `json:"windows"`
	LatencyMS    []byte           `json:"latency_ms"`     // encoded HDR histogram
	FirstTokenMS []byte           `json:"first_token_ms"` // encoded HDR histogram
}

// WindowCounts holds the counts of one window.
type WindowCounts struct {
	Window string `json:"window"`
	Total  int64  `json:"total"`
	Bad    int64  `json:"bad"`
}
