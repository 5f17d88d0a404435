package rest

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
)

// WeightStore implements infra.WeightStore over HTTP.
type WeightStore struct{ service readOnlyService }

// NewWeightStore returns a client of the weight store at address (host:port); timeout applies to each call.
func NewWeightStore(address string, client *httpcall.Client, timeout time.Duration) *WeightStore {
	return &WeightStore{readOnlyService{address, caller{client: client, timeout: timeout}}}
}

// Limits implements infra.WeightStore.
func (s *WeightStore) Limits(ctx context.Context) (infra.WeightLimits, error) {
	return fetch[infra.WeightLimits](ctx, s.service, "/weights/limits")
}
