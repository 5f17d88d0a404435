package gossip

import "github.com/cespare/xxhash/v2"

// EndpointKey identifies an endpoint in beats: four bytes of the hash of its ID. Each of two endpoints with the same key
// is credited with the load of both; among 2,500 group heads such a collision is expected in one of 1,400 fleets.
type EndpointKey uint32

// KeyOf returns the key of an endpoint, given its ID.
func KeyOf(endpoint string) EndpointKey {
	return EndpointKey(xxhash.Sum64String(endpoint)) //nolint:gosec // any four bytes of the hash will do
}

// Loads maps endpoints to their numbers of requests.
type Loads map[EndpointKey]int

// At returns the number of requests at an endpoint, given its ID.
func (l Loads) At(endpoint string) int { return l[KeyOf(endpoint)] }
