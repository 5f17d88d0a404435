package rest

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/platform"
)

// WeightStore is platform.WeightStore over HTTP.
type WeightStore struct{ source source }

// NewWeightStore returns the weight store at address (host:port).
func NewWeightStore(address string, client *httpcall.Client, timeout time.Duration) *WeightStore {
	return &WeightStore{source{address, caller{client, timeout}}}
}

// Limits implements platform.WeightStore.
func (s *WeightStore) Limits(ctx context.Context) (platform.WeightLimits, error) {
	return fetch[platform.WeightLimits](ctx, s.source, "/weights/limits")
}
