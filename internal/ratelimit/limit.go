package ratelimit

// Limit is the rate limit that an endpoint names in its answers.
type Limit struct {
	PerSecond float64 // requests per second that the endpoint accepts from all nodes together
	Named     bool    // whether the endpoint names a limit; if not, requests are not limited
}
