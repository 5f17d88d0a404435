package rest

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/infra"
)

// source is one of the platform's read-only services.
type source struct {
	address string
	caller  caller
}

// fetch reads one value of a source.
func fetch[T any](ctx context.Context, s source, uri string) (T, error) {
	var out T
	status, err := s.caller.call(ctx, fasthttp.MethodGet, s.address, uri, nil, &out)
	if err != nil || status != fasthttp.StatusOK {
		return out, errors.Join(infra.ErrUnavailable, err)
	}
	return out, nil
}
