package config

// Pool is the configuration part that applies to the whole pool. The operators that it lists may change all
// parts.
type Pool struct {
	Kind      Kind         `json:"kind"`
	Operators []Credential `json:"operators"`
	Shares    []Share      `json:"shares"`
	Prices    Prices       `json:"prices,omitzero"`
}
