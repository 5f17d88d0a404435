package infra

import "context"

// WeightLimits is the load that the weight store can take from all VMs of the pool together.
type WeightLimits struct {
	LoadsPerSecond float64 `json:"loads_per_second"` // weight loads started per second, one for each VM
}

// WeightStore is the platform's rate-limited store of model weights; engines read from it.
type WeightStore interface {
	// Limits returns the load that the store can take.
	Limits(ctx context.Context) (WeightLimits, error)
}
