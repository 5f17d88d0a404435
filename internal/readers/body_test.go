package readers_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/readers"
)

func TestBodyIsReadUpToItsLimit(t *testing.T) {
	text := strings.Repeat("x", 200<<10)
	for _, test := range []struct {
		length, limit int
		want          error
	}{
		{len(text), len(text), nil}, {-1, len(text), nil}, {-1, len(text) + 1, nil},
		{len(text), len(text) - 1, readers.ErrBodyTooLong}, {-1, len(text) - 1, readers.ErrBodyTooLong},
	} {
		for _, in := range []io.Reader{strings.NewReader(text), iotest.DataErrReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
			counted := 0
			body, err := readers.ReadBody(in, int64(test.length), test.limit, func(n int) error { counted += n; return nil })
			qt.Check(t, err, qt.Equals, test.want, qt.Commentf("%+v", test))
			if test.want == nil {
				qt.Check(t, string(body) == text, qt.IsTrue, qt.Commentf("%+v", test))
				qt.Check(t, counted, qt.Equals, cap(body))
			}
		}
	}
}

// Guards against a part of a body that is taken for the whole, and against a buffer that grows beyond what is counted.
func TestBodyThatCannotBeReadOrHeldIsNone(t *testing.T) {
	broken := errors.New("reset")
	_, err := readers.ReadBody(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(broken)), 100, 100, func(int) error { return nil })
	qt.Check(t, err, qt.Equals, broken)
	_, err = readers.ReadBody(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)), 100, 100, func(int) error { return nil })
	qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
	_, err = readers.ReadBody(strings.NewReader(strings.Repeat("x", 1<<20)), -1, 1<<20, func(n int) error {
		if n > 4096 {
			return readers.ErrTooLarge
		}
		return nil
	})
	qt.Check(t, err, qt.Equals, readers.ErrTooLarge)
}
