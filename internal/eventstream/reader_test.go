package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/eventstream"
)

// readAll returns the IDs and bytes of all events in the stream.
func readAll(in io.Reader) (ids, raws []string, err error) {
	r := eventstream.NewReader(in)
	for {
		e, ok, err := r.Buffered()
		switch {
		case errors.Is(err, io.EOF):
			return ids, raws, nil
		case err != nil:
			return ids, raws, err
		case ok:
			ids, raws = append(ids, e.ID), append(raws, string(e.Raw))
			continue
		}
		if err := r.Fill(); err != nil {
			return ids, raws, err
		}
	}
}

func TestEventsAreCompleteHoweverReadsAreSplit(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\n"
	for _, in := range []io.Reader{
		strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream)), iotest.DataErrReader(strings.NewReader(stream)),
	} {
		ids, raws, err := readAll(in)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, ids, qt.DeepEquals, []string{"1", "2", ""})
		qt.Check(t, strings.Join(raws, ""), qt.Equals, stream)
	}
}

func TestTruncatedEventIsNotReturned(t *testing.T) {
	ids, _, err := readAll(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
	qt.Check(t, errors.Is(err, eventstream.ErrTruncated), qt.IsTrue)
	qt.Check(t, ids, qt.DeepEquals, []string{"1"})
}

func TestReadErrorIsNotEndOfStream(t *testing.T) {
	reset := errors.New("reset")
	in := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(reset))
	ids, _, err := readAll(in)
	qt.Check(t, errors.Is(err, reset), qt.IsTrue)
	qt.Check(t, ids, qt.DeepEquals, []string{"1"})
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n", 3)
	f.Add("\n\n\n\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		at := 0
		if n := len(stream); n > 0 {
			at = (cut%n + n) % n
		}
		_, whole, errWhole := readAll(strings.NewReader(stream))
		_, parts, errParts := readAll(io.MultiReader(strings.NewReader(stream[:at]), strings.NewReader(stream[at:])))
		if joined := strings.Join(whole, ""); !strings.HasPrefix(stream, joined) {
			t.Fatalf("events %q are not a prefix of %q", joined, stream)
		}
		if strings.Join(whole, "|") != strings.Join(parts, "|") || (errWhole == nil) != (errParts == nil) {
			t.Fatalf("events differ with how the stream is split: %q and %q", whole, parts)
		}
	})
}
