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

// Guards against comments and blank lines that are taken for events, or read without end.
func TestCommentsAreEmptyEvents(t *testing.T) {
	r := eventstream.NewReader(strings.NewReader(":\n\n\n\n: a\r\n:b\r\n\r\nid: 1\ndata: x\n\n:\n\n:\ndata: y\n\n"))
	qt.Assert(t, r.Fill(), qt.IsNil)
	for _, empty := range []bool{true, true, true, false, true, false} {
		e, ok, err := r.Buffered()
		qt.Assert(t, ok && err == nil, qt.IsTrue)
		qt.Check(t, e.Empty, qt.Equals, empty, qt.Commentf("%q", e.Raw))
	}
	r = eventstream.NewReader(endless(":\n\n"))
	for err := error(nil); err == nil; {
		if _, ok, _ := r.Buffered(); !ok {
			err = r.Fill()
		}
	}
}

// endless repeats a text.
type endless string

func (e endless) Read(p []byte) (int, error) {
	n := 0
	for n+len(e) <= len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}
