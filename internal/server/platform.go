// Package server puts the parts of a moorrund process together that serves the callers of a platform, in front
// of the platform's endpoints.
package server

import (
	"context"
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

// Platform translates between the product and one platform. It decides nothing.
type Platform struct {
	Objects infra.ObjectStore
	// Recent lists the objects below a prefix for a tenth of the charge; the list may be some seconds old.
	Recent func(ctx context.Context, prefix string) (infra.Listing, error)
	Engine formation.Engine
	// Table decodes the accepted configuration.
	Table func(revision int64, value []byte) (*route.Table, error)
	// Endpoint decodes an endpoint's entry.
	Endpoint func(id string, revision int64, value []byte) (*endpoint.Endpoint, error)
	// Callers serves callers through the gateway. When leaving, it asks them to connect elsewhere.
	Callers func(g *gateway.Gateway, limits func() route.Limits, leaving func() bool) http.Handler
	// Registry answers which addresses callers of a data centre are to use, and for how long.
	Registry func(addresses func(dataCentre string) []string, lifetime time.Duration) http.Handler
	// Readiness answers whether this node takes callers.
	Readiness func(ready func() bool) http.Handler
}

// NewPlatform makes the adapter of a platform for one process; calls is shared with the rest of the process.
type NewPlatform func(s *settings.Gateway, calls *httpcall.Client) *Platform
