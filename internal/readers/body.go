package readers

import (
	"errors"
	"io"
)

const (
	// minBodyBuffer and maxFirstBuffer bound the buffer for a body before any of it has arrived, in bytes. A sender may announce a
	// long body and not send it.
	minBodyBuffer  = 512
	maxFirstBuffer = 64 << 10
)

// ErrBodyTooLong is returned for a body that is longer than allowed.
var ErrBodyTooLong = errors.New("the body is longer than allowed")

// ReadBody reads a body of the given length, -1 if it is unknown, and of at most limit bytes. count is called with the bytes by which the
// buffer is about to grow, and ends the read with its error.
func ReadBody(in io.Reader, length int64, limit int, count func(n int) error) ([]byte, error) {
	if length > int64(limit) {
		return nil, ErrBodyTooLong
	}
	longest := limit + 1 // one byte more than the body, to read its end without growing
	if length >= 0 {
		longest = int(length) + 1
	}
	var body []byte
	for size := min(max(int(length)+1, minBodyBuffer), maxFirstBuffer, longest); ; size = min(2*size, longest) {
		if err := count(size - cap(body)); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, size), body...)
		n, err := fill(body[len(body):cap(body)], in)
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrBodyTooLong
		case err == io.EOF: //nolint:errorlint // an end of the connection that is no end of the body may be wrapped
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until b is full or a read fails. Unlike io.ReadFull it returns the reader's own error.
func fill(b []byte, in io.Reader) (n int, err error) {
	for n < len(b) && err == nil {
		var more int
		more, err = in.Read(b[n:])
		n += more
	}
	return n, err
}
