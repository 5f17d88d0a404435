package httpcall

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// maxOverhead is how many bytes may arrive without a byte of a body among them: a header, interim responses, sizes and extensions of chunks,
// trailers.
const maxOverhead = 64 << 10

// ErrEndless is returned when an endpoint sends more than a response may hold.
var ErrEndless = errors.New("the endpoint sends more bytes than a response may hold")

// allowance bounds what is read from a connection, so that bytes that never become part of a response are not read for ever.
type allowance struct {
	net.Conn
	left int
}

// Read implements net.Conn. It returns ErrEndless once the allowance is used up.
func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, ErrEndless
	}
	n, err := a.Conn.Read(p[:min(len(p), a.left)])
	a.left -= n
	return n, err
}

// headError is the error of reading a response's header, without what the endpoint has sent: errors may be told to callers.
type headError struct{ err error }

// errBlankLines means that nothing but blank lines has arrived.
var errBlankLines = errors.New("blank lines in place of a response")

// headError returns the error to report for one that reading the response has returned.
func (a *Answer) headError(err error) error {
	var tooLong *fasthttp.ErrSmallBuffer
	cause := errors.Unwrap(err)
	switch {
	case errors.As(err, &tooLong):
		return headError{ErrEndless}
	case errors.Is(err, io.EOF) && a.conn.reader.Buffered() > 0: // fasthttp takes blank lines for the end of the connection
		return headError{errBlankLines}
	case cause == nil, errors.Is(err, io.EOF):
		return err
	default:
		return headError{cause}
	}
}

// Error implements error.
func (e headError) Error() string { return "reading the response's header: " + e.err.Error() }

// Unwrap returns the cause.
func (e headError) Unwrap() error { return e.err }
