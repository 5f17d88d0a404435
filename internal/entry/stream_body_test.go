package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzEndMarker holds that a stream is known to be whole however its bytes are split over reads.
func FuzzEndMarker(f *testing.F) {
	f.Add([]byte("data: a\n\n"), 3)
	f.Add([]byte(""), 1)
	f.Add([]byte("data: [DONE]\n"), 7)
	f.Fuzz(func(t *testing.T, events []byte, step int) {
		step = max(1, min(step, 64))
		b := &streamBody{marker: endMarker}
		whole := append(append([]byte{}, events...), endMarker...)
		for at := 0; at < len(whole); at += step {
			b.note(whole[at:min(at+step, len(whole))])
		}
		qt.Assert(t, b.ended(), qt.IsTrue)
		b.note([]byte("more"))
		qt.Assert(t, b.ended(), qt.IsFalse)
	})
}

func TestNotingEventsAllocatesNothing(t *testing.T) {
	b := &streamBody{marker: endMarker}
	event := []byte("data: {\"index\":1,\"text\":\"token\"}\n\n")
	qt.Assert(t, testing.AllocsPerRun(1000, func() { b.note(event) }), qt.Equals, 0.0)
}
