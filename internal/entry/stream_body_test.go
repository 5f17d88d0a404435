package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzEndMarker checks that the end of a stream is recognized however its bytes are split over reads.
func FuzzEndMarker(f *testing.F) {
	f.Add([]byte("data: a\n\n"), 3)
	f.Add([]byte(""), 1)
	f.Add([]byte("data: [DONE]\n"), 7)
	f.Fuzz(func(t *testing.T, events []byte, step int) {
		step = max(1, min(step, 64))
		b := &streamBody{marker: endMarker}
		stream := append(append([]byte{}, events...), endMarker...)
		for at := 0; at < len(stream); at += step {
			b.recordBytes(stream[at:min(at+step, len(stream))])
		}
		qt.Assert(t, b.isComplete(), qt.IsTrue)
		b.recordBytes([]byte("more"))
		qt.Assert(t, b.isComplete(), qt.IsFalse)
	})
}

func TestRecordBytesDoesNotAllocate(t *testing.T) {
	b := &streamBody{marker: endMarker}
	event := []byte("data: {\"index\":1,\"text\":\"token\"}\n\n")
	qt.Assert(t, testing.AllocsPerRun(1000, func() { b.recordBytes(event) }), qt.Equals, 0.0)
}
