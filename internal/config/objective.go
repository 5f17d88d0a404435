package config

// Objective is the service-level objective of a service or model.
type Objective struct {
	Service      string  `json:"service"`
	Availability float64 `json:"availability"`             // required fraction of good answers, between 0 and 1
	FirstTokenMS int     `json:"first_token_ms,omitempty"` // a later first token makes an answer bad
	LatencyMS    int     `json:"latency_ms,omitempty"`     // a longer latency makes an answer bad
}
