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

func TestHoldsResponse(t *testing.T) {
	for arrived, want := range map[string]bool{
		"": false, "HTTP/1.1 200 OK\r\n": false, "HTTP/1.1 200 OK\r\n\r\n": false, "HTTP/1.1 100 Continue\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n": false, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab": false, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": true, "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc": false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": false,
	} {
		qt.Check(t, holdsResponse([]byte(arrived)), qt.Equals, want, qt.Commentf("%q", arrived))
	}
}
