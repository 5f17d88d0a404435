package burn

// ServiceReport is the part of a Report about one model or service.
type ServiceReport struct {
	Workspace     string       `json:"workspace"`
	Service       string       `json:"service"`
	Availability  float64      `json:"objective"` // 0 if no objective is declared
	Burn          []WindowBurn `json:"burn"`
	Remaining     float64      `json:"budget_remaining"` // unspent fraction of the longest window's error budget, negative if overspent
	LatencyP50    int64        `json:"latency_p50_ms"`
	LatencyP99    int64        `json:"latency_p99_ms"`
	FirstTokenP95 int64        `json:"first_token_p95_ms"`
}

// WindowBurn is a service's burn over one window. A Rate of 1 spends the error budget exactly by the end of the window.
type WindowBurn struct {
	Window string  `json:"window"`
	Total  int64   `json:"total"`
	Bad    int64   `json:"bad"`
	Rate   float64 `json:"rate"`
}
