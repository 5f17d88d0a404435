// Package eventstream reads streams of server-sent events and returns only complete events.
package eventstream

import (
	"bytes"
	"errors"
	"io"
)

// maxEvent is the longest event that can be read, in bytes.
const maxEvent = 1 << 20

const readSize = 4 << 10

// ErrTruncated is returned when a stream ends within an event.
var ErrTruncated = errors.New("the stream ends within an event")

// errTooLong is returned for an event longer than maxEvent, and if empty events of more than that come one after the other.
var errTooLong = errors.New("an event is too long")

// Event is one complete event.
type Event struct {
	ID  string
	Raw []byte // includes the empty line that ends the event; valid until the next call
	// Empty means that it holds only comments and blank lines.
	Empty bool
}

// Reader splits a stream into events. Buffered returns events that have arrived completely; Fill reads more of the stream.
type Reader struct {
	in     io.Reader
	buffer []byte
	start  int // offset in buffer of the first byte not yet returned
	empty  int // bytes of empty events since the last other one
	sought int // bytes after start in which no event ends
	ended  bool
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Buffered returns the next event if it has arrived completely. At the end of the stream the error is io.EOF, or ErrTruncated
// if part of an event is left.
func (r *Reader) Buffered() (e Event, ok bool, err error) {
	rest := r.buffer[r.start:]
	if end := eventLength(rest, r.sought); end > 0 {
		r.start += end
		r.sought = 0
		e := Event{ID: eventID(rest[:end]), Raw: rest[:end], Empty: !hasField(rest[:end])}
		r.empty += end
		if !e.Empty {
			r.empty = 0
		}
		return e, true, nil
	}
	r.sought = len(rest)
	switch {
	case !r.ended:
		return Event{}, false, nil
	case len(bytes.TrimSpace(rest)) > 0:
		return Event{}, false, ErrTruncated
	default:
		return Event{}, false, io.EOF
	}
}

// Size returns the size of the buffer of events that have not been returned, in bytes.
func (r *Reader) Size() int { return cap(r.buffer) }

// Fill reads more of the stream. It invalidates the events returned before.
func (r *Reader) Fill() error {
	if r.start > 0 {
		r.buffer = append(r.buffer[:0], r.buffer[r.start:]...)
		r.start = 0
	}
	if len(r.buffer)+r.empty > maxEvent {
		return errTooLong
	}
	unread := len(r.buffer)
	if cap(r.buffer)-unread < readSize {
		r.buffer = append(make([]byte, 0, 2*cap(r.buffer)+readSize), r.buffer...)
	}
	n, err := r.in.Read(r.buffer[unread:cap(r.buffer)])
	r.buffer = r.buffer[:unread+n]
	if errors.Is(err, io.EOF) {
		r.ended = true
		return nil
	}
	return err
}

// longestEnd is the length of the longest end of an event.
const longestEnd = len("\r\n\r\n")

// eventLength returns the length of the first complete event in b, or 0 if there is none. No event ends in the first sought bytes.
func eventLength(b []byte, sought int) int {
	from := max(0, sought-longestEnd+1)
	lf, crlf := bytes.Index(b[from:], []byte("\n\n")), bytes.Index(b[from:], []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return from + lf + 2
	case crlf >= 0:
		return from + crlf + 4
	default:
		return 0
	}
}

// hasField reports whether the event has more than comments and blank lines.
func hasField(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the value of the event's id field, or "" if it has none.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
