// Package callerconn holds the connections of callers: it cuts those that do not read their answers, and lets them rest between two
// requests for as long as the configuration allows.
package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/netconn"
	"moorrun.dev/moorrun/internal/readers"
	"moorrun.dev/moorrun/internal/route"
)

// sendBuffer is how much of an answer the kernel may hold for one caller, in bytes (it accounts twice as much with its own
// overhead). Without a limit the kernel takes up to some megabytes for each caller that does not read, outside of any budget
// of this process, and a stall shows only after that. Callers are at most 4 ms away, which leaves more than 32 MB/s for each.
const sendBuffer = 128 << 10

// listener accepts callers' connections.
type listener struct {
	net.Listener
	stall  readers.Stall
	limits func() route.Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	return &Conn{Conn: c, stall: l.stall, limits: l.limits, opened: time.Now()}, nil
}

// NewListener returns a function that prepares a server of callers, so that handlers find the connection of a request,
// and returns the listener to serve instead of the given one.
func NewListener(stall readers.Stall) func(*http.Server, net.Listener, func() route.Limits) net.Listener {
	return func(s *http.Server, l net.Listener, limits func() route.Limits) net.Listener {
		s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}
		s.ConnState = func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*Conn); ok {
				c.resting.Store(state == http.StateIdle)
			}
		}
		return &listener{Listener: l, stall: stall, limits: limits}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Conn is a caller's connection. A write to it fails once the caller has accepted no byte for the stall bound. The
// connection is reset then: a plain close would leave up to some megabytes with the kernel, which keeps offering them to the
// caller for minutes.
type Conn struct {
	net.Conn
	stall  readers.Stall
	limits func() route.Limits
	opened time.Time
	// resting means that the next read deadline is that of the rest between two requests.
	resting atomic.Bool
	// armed is the write deadline set, as the time since opened; 0 if none is known to be set.
	armed atomic.Int64
	end   atomic.Pointer[time.Time] // end of the answer's time, by internal/clock; nil if none
	// account is that of the request being served; nil between requests.
	account atomic.Pointer[readers.Account]
	cut     atomic.Bool // the budget has cut the caller
}

// Of returns the connection of a request, or nil if its server was not prepared by NewListener.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// SetWriteDeadline implements net.Conn for net/http, which calls it only to remove the deadline after a request.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.SetEnd(time.Time{})
	c.armed.Store(0)
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn for net/http. A connection may rest for as long as the configuration allows; the server's idle timeout
// applies only without such a limit.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.resting.CompareAndSwap(true, false) && !t.IsZero() {
		if limit := c.limits().IdleTimeout; limit > 0 {
			t = time.Now().Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetEnd sets until when the caller may read its answer; zero is no end. It applies to writes that begin afterwards.
func (c *Conn) SetEnd(t time.Time) {
	if t.IsZero() {
		c.end.Store(nil)
		return
	}
	c.end.Store(&t)
}

// SetAccount sets the account of the request being served; nil between requests.
func (c *Conn) SetAccount(a *readers.Account) { c.account.Store(a) }

// StallBound returns the time after which a caller that accepts no byte is cut.
func (c *Conn) StallBound() time.Duration { return c.stall.Bound }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	began := time.Now()
	if err := c.arm(began); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	var end time.Time
	if e := c.end.Load(); e != nil {
		end = *e
	}
	w := c.stall.Begin(end, clock.Now().Add(-time.Since(began)))
	more, err := c.writeBlocked(p[n:], &w, n > 0)
	return n + more, err
}

// arm sets a write deadline between half of the check interval and a whole one ahead, so that a write that is accepted at once
// hardly ever has to set one.
func (c *Conn) arm(now time.Time) error {
	since, interval := now.Sub(c.opened), c.stall.Interval
	if time.Duration(c.armed.Load())-since >= interval/2 {
		return nil
	}
	c.armed.Store(int64(since + interval))
	return c.Conn.SetWriteDeadline(now.Add(interval))
}

// writeFor writes for at most the given time.
func (c *Conn) writeFor(p []byte, d time.Duration) (int, error) {
	c.armed.Store(0)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(d)); err != nil {
		return 0, err
	}
	if c.cut.Load() {
		return 0, os.ErrDeadlineExceeded // cutForMemory may have set its deadline before the one above
	}
	return c.Conn.Write(p)
}

// writeBlocked continues a write that was not accepted at once; accepted tells whether a part of it was. The caller is among those
// that the budget may cut until the write ends.
func (c *Conn) writeBlocked(p []byte, w *readers.Write, accepted bool) (written int, err error) {
	var blocked *readers.Wait
	if a := c.account.Load(); a != nil {
		blocked = a.Await(w.Progress(), c.cutForMemory)
		defer blocked.End()
	}
	for {
		now := clock.Now()
		if accepted {
			w.Accepted(now)
			if blocked != nil {
				blocked.Accepted(now)
			}
		}
		wait, err := w.Check(now)
		if c.cut.Load() {
			err = readers.ErrMemory
		}
		if err != nil {
			netconn.ResetOnClose(c.Conn, true)
			return written, err
		}
		n, err := c.writeFor(p[written:], wait)
		written += n
		accepted = n > 0
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// cutForMemory ends the blocked write.
func (c *Conn) cutForMemory() {
	c.cut.Store(true)
	_ = c.Conn.SetWriteDeadline(time.Now())
}

// CloseWrite lets net/http end a refusal in an orderly way while the caller still sends its request's body.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
