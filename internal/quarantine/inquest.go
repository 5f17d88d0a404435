package quarantine

import "time"

// findingFor is how long it is remembered that an endpoint has ended: the connections of its requests do not all break at
// the same instant.
const findingFor = time.Second

// reason is why connections to an endpoint have broken.
type reason string

const (
	stillAlive reason = "it lives, or nothing is known"
	wasLeaving reason = "it was leaving"
	withDomain reason = "its domain was lost"
	endedAlone reason = "alone, under its requests"
)

// inquest is the question of one endpoint's end.
type inquest struct {
	requests []Fingerprint
	resent   []Fingerprint // that another endpoint had failed before
	found    reason        // empty while it is open
	at       time.Time     // of the finding
}

// fresh reports whether what was found still holds for a connection that breaks now.
func (o *inquest) fresh(now time.Time) bool { return o.found == "" || now.Sub(o.at) < findingFor }

// add takes in a request that the endpoint had.
func (o *inquest) add(f Fingerprint, resent bool) {
	if resent {
		o.resent = append(o.resent, f)
		return
	}
	o.requests = append(o.requests, f)
}
