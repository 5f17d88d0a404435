package burn

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
