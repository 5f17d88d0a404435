package route

import "time"

// Limits bounds the size of callers' requests, the time to send their headers and the idle time of their connections. A zero value
// means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
