package rest

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/platform"
)

// ObjectStore is platform.ObjectStore over HTTP; every call is paid from a Budget.
type ObjectStore struct {
	address string
	caller  caller
	budget  *Budget
}

// NewObjectStore returns the object API at address (host:port).
func NewObjectStore(address string, client *httpcall.Client, budget *Budget, timeout time.Duration) *ObjectStore {
	return &ObjectStore{address: address, caller: caller{client, timeout}, budget: budget}
}

func objectURI(key string, ifVersion int64) string {
	return fmt.Sprintf("/objects/%s?if_version=%d", key, ifVersion)
}

// Get implements platform.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, key string) (platform.Object, error) {
	var o platform.Object
	if err := s.budget.read(ctx); err != nil {
		return o, err
	}
	status, err := s.caller.call(ctx, fasthttp.MethodGet, s.address, "/objects/"+key, nil, &o)
	if err != nil {
		return o, errors.Join(platform.ErrUnavailable, err)
	}
	if status == fasthttp.StatusNotFound {
		return o, platform.ErrNotFound
	}
	return o, nil
}

// List implements platform.ObjectStore.
func (s *ObjectStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	return s.listing(ctx, "/objects?prefix="+url.QueryEscape(prefix), s.caller)
}

// Watch implements platform.ObjectStore.
func (s *ObjectStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Listing, error) {
	uri := fmt.Sprintf("/watch?prefix=%s&after=%d&wait_ms=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	patient := caller{s.caller.client, s.caller.timeout + wait}
	return s.listing(ctx, uri, patient)
}

func (s *ObjectStore) listing(ctx context.Context, uri string, c caller) (platform.Listing, error) {
	var l platform.Listing
	if err := s.budget.read(ctx); err != nil {
		return l, err
	}
	status, err := c.call(ctx, fasthttp.MethodGet, s.address, uri, nil, &l)
	if err != nil {
		return l, errors.Join(platform.ErrUnavailable, err)
	}
	if status != fasthttp.StatusOK {
		return l, Error.New("GET %s: status %d", uri, status)
	}
	return l, nil
}

// Put implements platform.ObjectStore.
func (s *ObjectStore) Put(ctx context.Context, key string, value any, ifVersion int64) (platform.Outcome, int64, error) {
	return s.write(ctx, fasthttp.MethodPut, key, value, ifVersion)
}

// Delete implements platform.ObjectStore.
func (s *ObjectStore) Delete(ctx context.Context, key string, ifVersion int64) (platform.Outcome, error) {
	outcome, _, err := s.write(ctx, fasthttp.MethodDelete, key, nil, ifVersion)
	return outcome, err
}

func (s *ObjectStore) write(ctx context.Context, method, key string, value any, ifVersion int64) (platform.Outcome, int64, error) {
	if err := s.budget.write(ctx); err != nil {
		return platform.NotApplied, 0, err
	}
	var o platform.Object
	status, err := s.caller.call(ctx, method, s.address, objectURI(key, ifVersion), value, &o)
	if err != nil {
		return platform.Unknown, 0, errors.Join(platform.ErrUnavailable, err)
	}
	if status == fasthttp.StatusConflict {
		return platform.NotApplied, 0, nil
	}
	if status != fasthttp.StatusOK {
		return platform.NotApplied, 0, Error.New("%s %s: status %d", method, key, status)
	}
	return platform.Applied, o.Version, nil
}
