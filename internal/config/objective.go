package config

// Objective is the level a service or model is held to.
type Objective struct {
	Service      string  `json:"service"`
	Availability float64 `json:"availability"`             // wanted part of good answers, between 0 and 1
	FirstTokenMS int     `json:"first_token_ms,omitempty"` // an answer whose first token comes later is not good
	LatencyMS    int     `json:"latency_ms,omitempty"`     // an answer that takes longer is not good
}
