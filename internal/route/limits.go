package route

import "time"

// Limits bound what a caller may send and how long it may rest. Zero values bound nothing.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
