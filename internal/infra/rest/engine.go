package rest

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
)

// Engine implements infra.Engine over HTTP.
type Engine struct {
	caller caller
}

// NewEngine returns a client that is shared by all engines; timeout applies to each call.
func NewEngine(client *httpcall.Client, timeout time.Duration) *Engine {
	return &Engine{caller{client: client, timeout: timeout, endpoint: true}}
}

// State implements infra.Engine.
func (e *Engine) State(ctx context.Context, address string) (infra.EngineState, error) {
	var s infra.EngineState
	status, err := e.caller.call(ctx, fasthttp.MethodGet, address, "/engine/state", nil, &s)
	if err == nil && status != fasthttp.StatusOK {
		err = Error.New("reading the state of the engine at %s: HTTP status %d", address, status)
	}
	return s, err
}

// Order implements infra.Engine.
func (e *Engine) Order(ctx context.Context, address string, order infra.Order) error {
	status, err := e.caller.call(ctx, fasthttp.MethodPost, address, "/engine/order", order, nil)
	if err == nil && status == fasthttp.StatusConflict {
		return infra.ErrFenced
	}
	if err == nil && status != fasthttp.StatusOK {
		err = Error.New("sending an order to the engine at %s: HTTP status %d", address, status)
	}
	return err
}

// Cancel implements infra.Engine.
func (e *Engine) Cancel(ctx context.Context, address, stream string) error {
	_, err := e.caller.call(ctx, fasthttp.MethodDelete, address, "/engine/streams/"+stream, nil, nil)
	return err
}
