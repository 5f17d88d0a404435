package httpcall

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestHoldsChunk(t *testing.T) {
	for arrived, want := range map[string]bool{
		"": false, "3": false, "3\r": false, "3\r\n": false, "3\r\nab": false, "3\r\nabc": false, "3\r\nabc\r": false, "3\r\nabc\r\n": true,
		"3\r\nabc\r\n2\r\n": true, "0\r\n": false, "0\r\n\r\n": true, "abc\r\n": false, "-1\r\n\r\n": false, "ffffffffffffffff\r\n": false, "z\r\n\r\n": false,
	} {
		qt.Check(t, holdsChunk([]byte(arrived)), qt.Equals, want, qt.Commentf("%q", arrived))
	}
}
