package quarantine

import "time"

// causeTTL is how long the cause of an ending is kept, because the connections of an endpoint's requests do not
// all break at the same instant.
const causeTTL = time.Second

// endCause is the reason why connections to an endpoint broke.
type endCause string

const (
	notEnded           endCause = "it lives"
	nothingKnown       endCause = "nothing is known"
	endedWhileDraining endCause = "it was leaving"
	endedWithDomain    endCause = "its domain was lost"
	endedAlone         endCause = "alone, under its requests"
)

// isEnd reports whether the endpoint is known to have ended.
func (c endCause) isEnd() bool { return c != notEnded && c != nothingKnown }

// investigation collects the requests affected by broken connections to one endpoint while the cause is being determined.
type investigation struct {
	attempts []Attempt
	cause    endCause  // empty until it is determined
	start    time.Time // when the first connection failed
}

// fresh reports whether the cause also applies to a connection that breaks at now.
func (inv *investigation) fresh(now time.Time) bool {
	return inv.cause == "" || now.Sub(inv.start) < causeTTL
}
