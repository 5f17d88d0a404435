package server

import (
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/gossip"
)

// beatCounters are the counters for one kind of heartbeat.
type beatCounters struct{ datagrams, bytes tally.Counter }

// newBeatCounter returns a function that counts sent heartbeats and their size in bytes, by kind.
func newBeatCounter(scope tally.Scope) func(kind gossip.BeatKind, size int) {
	counters := make(map[gossip.BeatKind]beatCounters, len(gossip.BeatKinds))
	for _, kind := range gossip.BeatKinds {
		s := scope.Tagged(map[string]string{"kind": string(kind)})
		counters[kind] = beatCounters{s.Counter("beats_sent"), s.Counter("beat_bytes_sent")}
	}
	return func(kind gossip.BeatKind, size int) {
		m := counters[kind]
		m.datagrams.Inc(1)
		m.bytes.Inc(int64(size))
	}
}
