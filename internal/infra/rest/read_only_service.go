package rest

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/infra"
)

// readOnlyService is a read-only HTTP service of the platform.
type readOnlyService struct {
	address string
	caller  caller
}

// fetch reads the JSON value at uri from the service s.
func fetch[T any](ctx context.Context, s readOnlyService, uri string) (T, error) {
	var out T
	status, err := s.caller.call(ctx, fasthttp.MethodGet, s.address, uri, nil, &out)
	if err != nil || status != fasthttp.StatusOK {
		return out, errors.Join(infra.ErrUnavailable, err)
	}
	return out, nil
}
