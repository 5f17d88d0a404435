package server

import (
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/gossip"
)

// beatMeters are the counters of one kind of beat.
type beatMeters struct{ datagrams, bytes tally.Counter }

// countBeats returns a function that counts the beats sent, by kind.
func countBeats(scope tally.Scope) func(kind gossip.BeatKind, size int) {
	meters := make(map[gossip.BeatKind]beatMeters, len(gossip.BeatKinds))
	for _, kind := range gossip.BeatKinds {
		s := scope.Tagged(map[string]string{"kind": string(kind)})
		meters[kind] = beatMeters{s.Counter("beats_sent"), s.Counter("beat_bytes_sent")}
	}
	return func(kind gossip.BeatKind, size int) {
		m := meters[kind]
		m.datagrams.Inc(1)
		m.bytes.Inc(int64(size))
	}
}
