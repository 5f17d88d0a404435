package node

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/peer"
	"moorrun.dev/moorrun/internal/relay"
)

const partsTimeout = time.Second

// partSource fetches parts of the configuration from linked relays. It fetches parts that no linked relay has, and
// all parts if this node is a relay itself, from the platform's object store.
type partSource struct {
	caller  *peer.Caller
	links   *relay.Links
	objects infra.ObjectStore
}

// Fetch implements inforce.Source.
func (s partSource) Fetch(ctx context.Context, keys []string) []infra.Object {
	var found []infra.Object
	for _, address := range s.links.Addresses() {
		if len(keys) == 0 {
			return found
		}
		callCtx, cancel := context.WithTimeout(ctx, partsTimeout)
		parts, err := s.caller.Parts(callCtx, address, keys)
		cancel()
		if err == nil {
			found = append(found, parts...)
			keys = missing(keys, parts)
		}
	}
	for _, key := range keys {
		callCtx, cancel := context.WithTimeout(ctx, partsTimeout)
		if o, err := s.objects.Get(callCtx, key); err == nil {
			found = append(found, o)
		}
		cancel()
	}
	return found
}

func missing(keys []string, found []infra.Object) []string {
	have := make(map[string]bool, len(found))
	for _, o := range found {
		have[o.Key] = true
	}
	var out []string
	for _, key := range keys {
		if !have[key] {
			out = append(out, key)
		}
	}
	return out
}
