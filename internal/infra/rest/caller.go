// Package rest implements the interfaces of package infra with JSON over HTTP.
package rest

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/lenient"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// caller sends JSON requests and decodes the JSON responses.
type caller struct {
	client  *httpcall.Client
	timeout time.Duration
	// endpoint is set if the addresses are those of engines, which other nodes may reach if this one does not.
	endpoint bool
}

// call sends in as the request body, decodes the body of a 200 response into out and returns the status code.
// Both in and out may be nil. It returns an error if there is no usable response, which includes status 500
// and above.
func (c caller) call(ctx context.Context, method, address, uri string, in, out any) (int, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.SetHost(address)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	o := httpcall.Options{Timeout: c.timeout, Endpoint: c.endpoint}
	if c.endpoint {
		o.MaxBody = httpcall.MaxControlBody
	}
	answer, err := c.client.Do(ctx, address, request, o)
	if err != nil {
		return 0, err
	}
	defer answer.Close() //nolint:errcheck // the response body has been read in full
	status := answer.Response.StatusCode()
	if status >= fasthttp.StatusInternalServerError {
		return status, fmt.Errorf("%s %s: status %d", method, uri, status)
	}
	if out == nil || status != fasthttp.StatusOK {
		return status, nil
	}
	return status, lenient.Unmarshal(answer.Response.Body(), out)
}
