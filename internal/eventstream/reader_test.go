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

// all reads every event of in.
func all(in io.Reader) (ids, raws []string, err error) {
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

func TestEventsComeWholeHoweverTheyAreCut(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\n"
	for _, in := range []io.Reader{
		strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream)), iotest.DataErrReader(strings.NewReader(stream)),
	} {
		ids, raws, err := all(in)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, ids, qt.DeepEquals, []string{"1", "2", ""})
		qt.Check(t, strings.Join(raws, ""), qt.Equals, stream)
	}
}

func TestTornEventIsNotPassedOn(t *testing.T) {
	ids, _, err := all(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
	qt.Check(t, errors.Is(err, eventstream.ErrTorn), qt.IsTrue)
	qt.Check(t, ids, qt.DeepEquals, []string{"1"})
}

func TestResetIsNotAnEnd(t *testing.T) {
	reset := errors.New("reset")
	in := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(reset))
	ids, _, err := all(in)
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
		_, whole, errWhole := all(strings.NewReader(stream))
		_, parts, errParts := all(io.MultiReader(strings.NewReader(stream[:at]), strings.NewReader(stream[at:])))
		if joined := strings.Join(whole, ""); !strings.HasPrefix(stream, joined) {
			t.Fatalf("events %q are no beginning of %q", joined, stream)
		}
		if strings.Join(whole, "|") != strings.Join(parts, "|") || (errWhole == nil) != (errParts == nil) {
			t.Fatalf("%q and %q differ by how the stream is cut", whole, parts)
		}
	})
}
