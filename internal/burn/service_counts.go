package burn

import "moorrun.dev/moorrun/internal/config"

// ServiceCounts is what one node has counted for one model or service.
type ServiceCounts struct {
	Workspace    string           `json:"workspace"`
	Service      string           `json:"service"`
	Objective    config.Objective `json:"objective"`
	Windows      []WindowCounts   `json:"windows"`
	LatencyMS    []byte           `json:"latency_ms"`     // encoded HDR histogram
	FirstTokenMS []byte           `json:"first_token_ms"` // encoded HDR histogram
}

// WindowCounts is one window of ServiceCounts.
type WindowCounts struct {
	Window string `json:"window"`
	Total  int64  `json:"total"`
	Bad    int64  `json:"bad"`
}

// NodeCounts is one node's whole snapshot.
type NodeCounts struct {
	VM          string          `json:"vm"`
	Incarnation string          `json:"incarnation"`
	UptimeS     int64           `json:"uptime_s"`
	Services    []ServiceCounts `json:"services"`
	Losses      []GroupLosses   `json:"losses,omitempty"` // of the data centre whose lease it holds or held
}

// GroupLosses is what a workspace has lost by replica groups that were not whole.
type GroupLosses struct {
	Workspace       string  `json:"workspace"`
	DowntimeSeconds float64 `json:"downtime_s"` // replica group seconds out of use
	StrandedSeconds float64 `json:"stranded_s"` // accelerator seconds idle in such groups
}
