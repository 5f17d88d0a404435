package route

import "time"

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name           string
	MaxConnections int // an endpoint accepts from all callers together
	// ColdFor is how long an endpoint is cold after its start, and ColdPerSecond how many requests a second it bears then;
	// zero if it bears as many as any.
	ColdFor       time.Duration
	ColdPerSecond float64
	Engine        *Engine
}
