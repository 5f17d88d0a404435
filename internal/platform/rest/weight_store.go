package rest

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/platform"
)

// WeightStore is platform.WeightStore over HTTP.
type WeightStore struct {
	address string
	caller  caller
}

// NewWeightStore returns the weight store at address (host:port).
func NewWeightStore(address string, client *httpcall.Client, timeout time.Duration) *WeightStore {
	return &WeightStore{address, caller{client, timeout}}
}

// Limits implements platform.WeightStore.
func (s *WeightStore) Limits(ctx context.Context) (platform.WeightLimits, error) {
	var l platform.WeightLimits
	status, err := s.caller.call(ctx, fasthttp.MethodGet, s.address, "/weights/limits", nil, &l)
	if err != nil || status != fasthttp.StatusOK {
		return l, errors.Join(platform.ErrUnavailable, err)
	}
	return l, nil
}
