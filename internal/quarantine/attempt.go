package quarantine

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request     Fingerprint // of the whole request
	PromptParts []string    // IDs of the parts of its prompt, in order
	Begun       bool        // an event of the answer has arrived from this endpoint
	Resent      bool        // another endpoint had failed the request before
}
