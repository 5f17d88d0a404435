package gossip

import "maps"

// Unread maps endpoints to the prompt tokens that have been sent there and whose first event has not arrived. Nil means that
// they are unknown, while an endpoint without an entry has none.
type Unread map[EndpointKey]int

// At returns the number of tokens at an endpoint, given its ID.
func (u Unread) At(endpoint string) int { return u[KeyOf(endpoint)] }

// plus returns the sum of both; nil if both are unknown. It may modify u. If only one is known, the sum covers only the nodes
// that it is from, which understates the tokens while a fleet has nodes of a version that does not report them.
func (u Unread) plus(other Unread) Unread {
	if other == nil {
		return u
	}
	if u == nil {
		return maps.Clone(other)
	}
	for endpoint, tokens := range other {
		u[endpoint] += tokens
	}
	return u
}

// minus returns u without the tokens of a node that is included in it.
func (u Unread) minus(other Unread) Unread {
	out := maps.Clone(u)
	for endpoint, tokens := range other {
		if out[endpoint] -= tokens; out[endpoint] <= 0 {
			delete(out, endpoint)
		}
	}
	return out
}
