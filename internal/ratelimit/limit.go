package ratelimit

// Limit is the rate that an endpoint has named.
type Limit struct {
	PerSecond float64 // requests from all nodes together
	Named     bool    // false: it takes as many as come
}
