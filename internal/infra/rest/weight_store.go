package rest

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
)

// WeightStore is infra.WeightStore over HTTP.
type WeightStore struct{ source source }

// NewWeightStore returns the weight store at address (host:port).
func NewWeightStore(address string, client *httpcall.Client, timeout time.Duration) *WeightStore {
	return &WeightStore{source{address, caller{client, timeout}}}
}

// Limits implements infra.WeightStore.
func (s *WeightStore) Limits(ctx context.Context) (infra.WeightLimits, error) {
	return fetch[infra.WeightLimits](ctx, s.source, "/weights/limits")
}
