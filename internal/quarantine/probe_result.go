package quarantine

// ProbeResult is the result of probing an endpoint.
type ProbeResult uint8

const (
	// Alive means that the endpoint answered.
	Alive ProbeResult = iota + 1
	// Ended means that nothing listens at the endpoint's address, or that another endpoint does.
	Ended
	// Unknown means that no answer arrived: the endpoint may be unreachable, suspended or without power.
	Unknown
)
