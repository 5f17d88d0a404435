package gossip

import "github.com/cespare/xxhash/v2"

// EndpointKey stands for an endpoint where loads are told: four bytes of the hash of its ID. Two endpoints with the same
// key would be taken for as busy as both; among 2,500 heads of groups that is to be expected once in 1,400 fleets.
type EndpointKey uint32

// KeyOf returns the key of an endpoint.
func KeyOf(endpoint string) EndpointKey {
	return EndpointKey(xxhash.Sum64String(endpoint)) //nolint:gosec // the low bytes are as good as any
}

// Loads are how many requests endpoints have.
type Loads map[EndpointKey]int

// At returns how many requests an endpoint has.
func (l Loads) At(endpoint string) int { return l[KeyOf(endpoint)] }
