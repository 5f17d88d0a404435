// Package eventstream reads streams of server-sent events, whole events only.
package eventstream

import (
	"bytes"
	"errors"
	"io"
)

// maxEvent is the longest event that is read, in bytes.
const maxEvent = 1 << 20

const readSize = 4 << 10

// ErrTorn is returned when a stream ends within an event.
var ErrTorn = errors.New("the stream ends within an event")

// errTooLong is returned for an event longer than maxEvent.
var errTooLong = errors.New("an event is too long")

// Event is one whole event.
type Event struct {
	ID  string
	Raw []byte // with the empty line that ends it; valid until the next call
}

// Reader takes events from a stream. Buffered returns what has come whole; Fill takes in more.
type Reader struct {
	in     io.Reader
	buffer []byte
	start  int // of what has not been returned
	ended  bool
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Buffered returns the next event if it has come whole. At the end of the stream the error is io.EOF, or ErrTorn
// if part of an event is left.
func (r *Reader) Buffered() (e Event, ok bool, err error) {
	rest := r.buffer[r.start:]
	if end := endOf(rest); end > 0 {
		r.start += end
		raw := rest[:end]
		return Event{ID: idOf(raw), Raw: raw}, true, nil
	}
	switch {
	case !r.ended:
		return Event{}, false, nil
	case len(bytes.TrimSpace(rest)) > 0:
		return Event{}, false, ErrTorn
	default:
		return Event{}, false, io.EOF
	}
}

// Fill reads more of the stream. It forgets the events returned before.
func (r *Reader) Fill() error {
	r.buffer = append(r.buffer[:0], r.buffer[r.start:]...)
	r.start = 0
	if len(r.buffer) > maxEvent {
		return errTooLong
	}
	held := len(r.buffer)
	if cap(r.buffer)-held < readSize {
		r.buffer = append(make([]byte, 0, 2*cap(r.buffer)+readSize), r.buffer...)
	}
	n, err := r.in.Read(r.buffer[held:cap(r.buffer)])
	r.buffer = r.buffer[:held+n]
	if errors.Is(err, io.EOF) {
		r.ended = true
		return nil
	}
	return err
}

// endOf returns the length of the first whole event, 0 if there is none.
func endOf(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	default:
		return 0
	}
}

// idOf returns the value of the event's id field.
func idOf(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
