package httpcall

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// silentAfter is how long nothing has come on a kept connection for the others to its address to be dropped. Connections
// may go silent for good without a reset, all at once; without this each of them would cost a request its whole wait.
// A slow endpoint costs some new connections by it.
const silentAfter = 300 * time.Millisecond

// Answer is one HTTP answer and the connection it arrives on; it must be closed.
type Answer struct {
	Response fasthttp.Response

	client *Client
	conn   *conn
	ctx    context.Context //nolint:containedctx // of the call, to tell a cancelled wait from one that took too long
	stop   func() bool
	whole  bool
	heard  bool // something of the answer has come
	sent   time.Time
}

// Read reads the streamed body and reports io.EOF only after all of it has arrived.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Response.BodyStream().Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// SetReadTimeout bounds the wait for the next bytes of a streamed body. Once the call's context has ended, waits end at once.
func (a *Answer) SetReadTimeout(d time.Duration) error {
	if err := a.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	return a.endIfCancelled()
}

// Cancelled reports whether the call's context has ended.
func (a *Answer) Cancelled() bool { return a.ctx.Err() != nil }

// Await waits until bytes can be read, within the read timeout. Unlike Read it may be called again after a
// timeout, because it takes nothing in.
func (a *Answer) Await() error {
	_, err := a.conn.reader.Peek(1)
	if err == io.EOF {
		return nil // Read tells whether that is the end
	}
	a.heard = a.heard || err == nil
	return err
}

// Close gives the connection back when the answer was read whole, and closes it otherwise.
func (a *Answer) Close() error {
	if a.conn == nil {
		return nil
	}
	c := a.conn
	a.conn = nil
	undisturbed := a.stop()
	reusable := a.whole && undisturbed && !a.Response.ConnectionClose()
	a.Response.Reset()
	if reusable {
		a.client.put(c)
		return nil
	}
	if c.kept && !a.heard && time.Since(a.sent) >= silentAfter {
		a.client.drop(c.address)
	}
	return c.Close()
}

// watch closes the gap between a cancelled context and a blocked read or write.
func (a *Answer) watch(ctx context.Context) {
	c := a.conn
	a.ctx = ctx
	a.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(longAgo) })
}

// longAgo is a deadline that ends reads and writes at once.
var longAgo = time.Unix(1, 0)

// endIfCancelled ends reads and writes at once if the call's context has ended. It follows each change of the deadline,
// which may have come after that end and undone what watch has set.
func (a *Answer) endIfCancelled() error {
	if !a.Cancelled() {
		return nil
	}
	return a.conn.SetDeadline(longAgo)
}

// clearDeadline ends the bound on the sending, unless the call was cancelled meanwhile.
func (a *Answer) clearDeadline() {
	_ = a.conn.SetDeadline(time.Time{})
	_ = a.endIfCancelled()
}
