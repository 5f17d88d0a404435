package httpcall

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// silentTimeout is how long a call on a reused connection may receive nothing; if it is closed after a longer wait, the other
// idle connections to the address are closed as well. All connections to an address may stop responding permanently at the
// same time, without a reset; otherwise each of them would cost a request its whole timeout. The price is some new connections
// to an endpoint that is merely slow.
const silentTimeout = 300 * time.Millisecond

// Answer is one HTTP response and the connection it arrives on. It must be closed.
type Answer struct {
	Response fasthttp.Response

	client          *Client
	conn            *conn
	ctx             context.Context //nolint:containedctx // of the call, to distinguish cancellation from a timeout
	stopCancelWatch func() bool
	complete        bool
	received        bool // part of the response has arrived
	header          bool // its header has been read
	sent            time.Time
	reading         chan error // receives the result of the step that is in progress in ReadWithin; nil if none is
}

// Read reads the streamed body and reports io.EOF only after all of it has arrived.
func (a *Answer) Read(p []byte) (int, error) {
	body := a.Response.BodyStream()
	if body == nil { // the status allows none
		a.complete = true
		return 0, io.EOF
	}
	a.conn.allowance.left = maxOverhead + len(p)
	n, err := body.Read(p)
	if err == io.EOF {
		a.complete = true
	}
	return n, a.readError(err)
}

// SetReadTimeout bounds the wait for the next bytes of a streamed body. Once the call's context has ended, reads fail
// immediately.
func (a *Answer) SetReadTimeout(d time.Duration) error {
	if err := a.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	return a.endIfCancelled()
}

// Cancelled reports whether the call's context has ended.
func (a *Answer) Cancelled() bool { return a.ctx.Err() != nil }

// Await waits until bytes can be read, within the read timeout. Unlike Read it may be called again after a timeout, because it
// consumes nothing.
func (a *Answer) Await() error {
	a.conn.allowance.left = max(a.conn.allowance.left, maxOverhead)
	_, err := a.conn.reader.Peek(1)
	if err == io.EOF {
		return nil // Read reports whether this is the end of the body
	}
	a.received = a.received || err == nil
	return err
}

// ReadWithin waits for bytes and then for step, which reads on, for at most the given time. It reports whether step has ended, with its error; if
// not, the error is nil or that of the wait. A read that has begun cannot be interrupted and continued, so step runs on then, and the next call
// waits for the same one. The reads of step fail after rest.
func (a *Answer) ReadWithin(wait, rest time.Duration, step func() error) (done bool, err error) {
	end := time.Now().Add(wait)
	if a.reading == nil {
		if err := a.awaitFor(wait, rest); err != nil {
			if IsTimeout(err) && !a.Cancelled() {
				err = nil
			}
			return false, err
		}
		if a.PartArrived() {
			return true, step()
		}
		a.reading = make(chan error, 1)
		go func() { a.reading <- step() }()
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case err := <-a.reading:
		a.reading = nil
		return true, err
	case <-timer.C:
		return false, nil
	}
}

// Reading reports whether a step of ReadWithin is in progress.
func (a *Answer) Reading() bool { return a.reading != nil }

// awaitFor waits for bytes for the given time, and then sets the read timeout to rest.
func (a *Answer) awaitFor(wait, rest time.Duration) error {
	if err := a.SetReadTimeout(wait); err != nil {
		return err
	}
	if err := a.Await(); err != nil {
		return err
	}
	return a.SetReadTimeout(rest)
}

// PartArrived reports whether what has arrived is enough for the next step to return without waiting for more: the whole header of a
// stream of events, a whole response with a length, or the next chunk of a body in chunks. It may return false although it is enough.
func (a *Answer) PartArrived() bool {
	arrived, _ := a.conn.reader.Peek(a.conn.reader.Buffered())
	switch {
	case !a.header:
		return holdsResponse(arrived)
	case a.Response.Header.ContentLength() == chunkedLength:
		return holdsChunk(arrived)
	default:
		return len(arrived) > 0
	}
}

// BodyArrived reports whether the whole body of a response with a length has arrived.
func (a *Answer) BodyArrived() bool {
	n := a.Response.Header.ContentLength()
	return n >= 0 && a.conn.reader.Buffered() >= n
}

// holdsResponse reports whether b begins with the header of a stream of events, or with a whole response that has a length.
func holdsResponse(b []byte) bool {
	header, body, whole := bytes.Cut(b, []byte("\r\n\r\n"))
	if !whole {
		return false
	}
	header = bytes.ToLower(header)
	_, length, found := bytes.Cut(header, []byte("\r\ncontent-length:"))
	if !found {
		return bytes.Contains(header, []byte("\r\ncontent-type: text/event-stream"))
	}
	length, _, _ = bytes.Cut(length, []byte("\r\n"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(length)), 10, 31)
	return err == nil && uint64(len(body)) >= n
}

// chunkedLength is what fasthttp reports as the length of a body in chunks.
const chunkedLength = -1

// holdsChunk reports whether b begins with a whole chunk.
func holdsChunk(b []byte) bool {
	size, rest, found := bytes.Cut(b, []byte("\r\n"))
	n, err := strconv.ParseUint(string(size), 16, 31)
	return found && err == nil && uint64(len(rest)) >= n+uint64(len("\r\n"))
}

// interrupt makes a read that is in progress in another goroutine fail, and those after it.
func (a *Answer) interrupt() { _ = a.conn.SetReadDeadline(pastDeadline) }

// Close returns the connection to the client if the response was read completely, and closes it otherwise.
func (a *Answer) Close() error {
	if a.conn == nil {
		return nil
	}
	if a.reading != nil {
		a.interrupt()
		<-a.reading //nolint:errcheck // the response is given up
		a.reading = nil
	}
	c := a.conn
	a.conn = nil
	notCancelled := a.stopCancelWatch()
	reusable := a.complete && notCancelled && !a.Response.ConnectionClose()
	a.Response.Reset()
	if reusable {
		a.client.put(c)
		return nil
	}
	if c.reused && !a.received && time.Since(a.sent) >= silentTimeout {
		a.client.Drop(c.address)
	}
	return c.Close()
}

// watchCancel makes blocked reads and writes fail when ctx ends.
func (a *Answer) watchCancel(ctx context.Context) {
	c := a.conn
	a.ctx = ctx
	a.stopCancelWatch = context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
}

// pastDeadline is a deadline that makes reads and writes fail immediately.
var pastDeadline = time.Unix(1, 0)

// endIfCancelled makes reads and writes fail immediately if the call's context has ended. It must be called after each change of
// the deadline, which may have overwritten the deadline set by watchCancel.
func (a *Answer) endIfCancelled() error {
	if !a.Cancelled() {
		return nil
	}
	return a.conn.SetDeadline(pastDeadline)
}

// clearDeadline removes the deadline for sending, unless the call has been cancelled meanwhile.
func (a *Answer) clearDeadline() {
	_ = a.conn.SetDeadline(time.Time{})
	_ = a.endIfCancelled()
}
