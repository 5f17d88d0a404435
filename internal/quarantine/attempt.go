package quarantine

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Signature
	Begun  bool // an event of the answer has arrived from this endpoint
	Resent bool // another endpoint had failed the request before
}
