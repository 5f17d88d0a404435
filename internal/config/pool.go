package config

// Pool is the part that belongs to the operators of the whole pool.
type Pool struct {
	Kind      Kind         `json:"kind"`
	Operators []Credential `json:"operators"`
	Shares    []Share      `json:"shares"`
	Prices    Prices       `json:"prices,omitzero"`
}
