// Package server assembles a moorrund process that serves the callers of a platform in front of the platform's endpoints.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/formation"
	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/settings"
)

// Platform adapts moorrund to one platform. It only translates and makes no decisions.
type Platform struct {
	Objects infra.ObjectStore
	// Recent lists the objects below a prefix at a tenth of the price of a regular list; the result may be some seconds old.
	Recent func(ctx context.Context, prefix string) (infra.Listing, error)
	// Era returns how often the store has come back from a copy, as far as this node knows. The store then has lost what it
	// acknowledged last.
	Era    func() int64
	Engine formation.Engine
	// Table decodes the accepted configuration.
	Table func(revision int64, value []byte) (*route.Table, error)
	// Endpoint decodes an endpoint's entry.
	Endpoint func(id string, revision int64, value []byte) (*endpoint.Endpoint, error)
	// Callers returns the handler that serves callers through the gateway. While leaving returns true, the handler asks them to
	// connect to another node.
	Callers func(g *gateway.Gateway, limits func() route.Limits, leaving func() bool) http.Handler
	// Listener prepares the server of callers and returns the listener that it is to serve instead of l. Connections may rest as long as
	// limits allows, and at least for the server's idle timeout.
	Listener func(s *http.Server, l net.Listener, limits func() route.Limits) net.Listener
	// Held returns the bytes held for callers and endpoints.
	Held func() int64
	// Registry returns the handler that answers which addresses callers of a data centre should use, and for how long.
	Registry func(addresses func(dataCentre string) []string, lifetime time.Duration) http.Handler
	// Readiness returns the handler that answers whether this node accepts new callers.
	Readiness func(ready func() bool) http.Handler
}

// NewPlatform creates a platform's adapter for one process; calls is shared with the rest of the process.
type NewPlatform func(s *settings.Gateway, calls *httpcall.Client) *Platform
