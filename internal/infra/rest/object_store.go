package rest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/lenient"
)

// ObjectStore implements infra.ObjectStore over HTTP; a Budget limits the rate of its calls.
type ObjectStore struct {
	address string
	caller  caller
	budget  *Budget
}

// NewObjectStore returns a client of the object API at address (host:port); timeout applies to each call, and
// Watch adds its wait to it.
func NewObjectStore(address string, client *httpcall.Client, budget *Budget, timeout time.Duration) *ObjectStore {
	return &ObjectStore{address: address, caller: caller{client: client, timeout: timeout}, budget: budget}
}

func objectURI(key string, ifVersion int64) string {
	return fmt.Sprintf("/objects/%s?if_version=%d", key, ifVersion)
}

// Get implements infra.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, key string) (infra.Object, error) {
	var o infra.Object
	if err := s.budget.read(ctx); err != nil {
		return o, err
	}
	status, err := s.caller.call(ctx, fasthttp.MethodGet, s.address, "/objects/"+key, nil, &o)
	if err != nil {
		return o, errors.Join(infra.ErrUnavailable, err)
	}
	if status == fasthttp.StatusNotFound {
		return o, infra.ErrNotFound
	}
	return o, nil
}

// List implements infra.ObjectStore.
func (s *ObjectStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return s.listing(ctx, "/objects?prefix="+url.QueryEscape(prefix), s.caller)
}

// Watch implements infra.ObjectStore.
func (s *ObjectStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (infra.Listing, error) {
	uri := fmt.Sprintf("/watch?prefix=%s&after=%d&wait_ms=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	longPollCaller := caller{client: s.caller.client, timeout: s.caller.timeout + wait}
	return s.listing(ctx, uri, longPollCaller)
}

func (s *ObjectStore) listing(ctx context.Context, uri string, c caller) (infra.Listing, error) {
	if err := s.budget.read(ctx); err != nil {
		return infra.Listing{}, err
	}
	var l listing
	status, err := c.call(ctx, fasthttp.MethodGet, s.address, uri, nil, &l)
	if err != nil {
		return infra.Listing{}, errors.Join(infra.ErrUnavailable, err)
	}
	if status != fasthttp.StatusOK {
		return infra.Listing{}, Error.New("GET %s: status %d", uri, status)
	}
	return infra.Listing{Objects: lenient.Elements(l.Objects, func(o *infra.Object) string { return o.Key }), Version: l.Version}, nil
}

// listing is an infra.Listing whose objects are decoded one by one, so that one that is malformed does not hide the others.
type listing struct {
	Objects []json.RawMessage `json:"objects"`
	Version int64             `json:"version"`
}

// Put implements infra.ObjectStore.
func (s *ObjectStore) Put(ctx context.Context, key string, value any, ifVersion int64) (infra.Outcome, int64, error) {
	return s.write(ctx, fasthttp.MethodPut, key, value, ifVersion)
}

// Delete implements infra.ObjectStore.
func (s *ObjectStore) Delete(ctx context.Context, key string, ifVersion int64) (infra.Outcome, error) {
	outcome, _, err := s.write(ctx, fasthttp.MethodDelete, key, nil, ifVersion)
	return outcome, err
}

func (s *ObjectStore) write(ctx context.Context, method, key string, value any, ifVersion int64) (infra.Outcome, int64, error) {
	if err := s.budget.write(ctx); err != nil {
		return infra.NotApplied, 0, err
	}
	var o infra.Object
	status, err := s.caller.call(ctx, method, s.address, objectURI(key, ifVersion), value, &o)
	if err != nil {
		return infra.Unknown, 0, errors.Join(infra.ErrUnavailable, err)
	}
	if status == fasthttp.StatusConflict {
		return infra.NotApplied, 0, nil
	}
	if status != fasthttp.StatusOK {
		return infra.NotApplied, 0, Error.New("%s %s: status %d", method, key, status)
	}
	return infra.Applied, o.Version, nil
}
