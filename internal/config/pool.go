package config

// Pool is the configuration part that applies to the whole pool. Only the operators it lists may change it.
type Pool struct {
	Kind      Kind         `json:"kind"`
	Operators []Credential `json:"operators"`
	Shares    []Share      `json:"shares"`
	Prices    Prices       `json:"prices,omitzero"`
}
