package config

// Replicas bounds the number of a model's replica groups in the whole pool.
type Replicas struct {
	Min int `json:"min"`
	Max int `json:"max"`
}
