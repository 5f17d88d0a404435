package config

// Replicas bound how many replica groups a model has over the whole pool.
type Replicas struct {
	Min int `json:"min"`
	Max int `json:"max"`
}
