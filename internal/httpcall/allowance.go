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
	left   int
	failed error // of the last read
}

// Read implements net.Conn. It returns ErrEndless once the allowance is used up.
func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		a.failed = ErrEndless
		return 0, ErrEndless
	}
	n, err := a.Conn.Read(p[:min(len(p), a.left)])
	a.left -= n
	a.failed = err
	return n, err
}

// readError returns the error to report for one that fasthttp has returned, without what the endpoint has sent: errors may be told to
// callers.
func (a *Answer) readError(err error) error {
	var tooLong *fasthttp.ErrSmallBuffer
	failed := a.conn.allowance.failed
	switch {
	case errors.As(err, &tooLong):
		return ErrEndless
	case err == nil, errors.Is(err, io.EOF), IsBroken(err), errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return err
	case failed != nil && errors.Is(err, failed):
		return failed
	default:
		return errBody
	}
}
