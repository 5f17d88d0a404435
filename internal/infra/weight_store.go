package infra

import "context"

// WeightLimits is the rate the weight store bears over the whole pool.
type WeightLimits struct {
	LoadsPerSecond float64 `json:"loads_per_second"` // VM loads started a second
}

// WeightStore is the platform's rate-limited store of model weights; engines read from it.
type WeightStore interface {
	// Limits returns the rate the store bears.
	Limits(ctx context.Context) (WeightLimits, error)
}
