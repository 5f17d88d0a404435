package route

import "time"

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name           string
	MaxConnections int // connections that an endpoint accepts from all callers together
	// ColdFor is how long an endpoint is cold after its start. ColdPerSecond is the rate of requests per second that a cold
	// endpoint can take; zero if it is not limited.
	ColdFor       time.Duration
	ColdPerSecond float64
	Engine        *Engine // nil for a service of standalone endpoints
}
