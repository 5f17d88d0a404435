package server

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/loop"
)

const (
	// unreadTime is how long a stop that has closed its listener waits for the first requests of connections that were accepted before.
	unreadTime = time.Second
	// connCheckInterval is how often a stop looks whether all connections have ended.
	connCheckInterval = 5 * time.Millisecond
)

// callerConns holds the open connections of callers. http.Server.Shutdown is no replacement: it drops requests that the server reads after
// the call, so that their connections end without an answer.
type callerConns struct {
	limit   int                    // how many may be open; 0 is no limit
	onLimit func(closed closeKind) // called for each connection that is closed because of the limit

	mu      sync.Mutex
	open    map[net.Conn]*connState
	resting list.List // of net.Conn, the idle connections, the longest idle first
}

// connState is the state of an open connection.
type connState struct {
	http  http.ConnState
	entry *list.Element // in callerConns.resting; nil if it is not idle
}

// closeKind tells which connection is closed because too many are open.
type closeKind string

const (
	closedIdle closeKind = "idle"
	closedNew  closeKind = "new"
)

// watch makes a server report its connections, beside what already watches them.
func (c *callerConns) watch(s *http.Server) {
	next := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c.set(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
}

// set records the state of a connection. A new one beyond the limit takes the place of the one that has been idle for longest, or is closed
// if none is idle.
func (c *callerConns) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[conn]
	if known != nil && known.entry != nil {
		c.resting.Remove(known.entry)
		known.entry = nil
	}
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(c.open, conn)
		return
	case known == nil && state != http.StateNew:
		// It was closed for the limit after its next request had been read. The server then drops the connection before a handler runs.
		panic(http.ErrAbortHandler)
	case known == nil:
		if !c.makeRoom() {
			_ = conn.Close()
		}
		known = &connState{}
		if c.open == nil {
			c.open = make(map[net.Conn]*connState)
		}
		c.open[conn] = known
	}
	known.http = state
	if state == http.StateIdle {
		known.entry = c.resting.PushBack(conn)
	}
}

// makeRoom closes the connection that has been idle for longest if the limit is reached, and reports whether there is room for one more.
// The caller holds c.mu.
func (c *callerConns) makeRoom() bool {
	if c.limit == 0 || len(c.open) < c.limit {
		return true
	}
	longest := c.resting.Front()
	if longest == nil {
		c.onLimit(closedNew)
		return false
	}
	conn := c.resting.Remove(longest).(net.Conn) //nolint:forcetypeassert // only set adds to it
	delete(c.open, conn)
	_ = conn.Close()
	c.onLimit(closedIdle)
	return true
}

// closeUnread closes the connections that have not sent a request.
func (c *callerConns) closeUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.open {
		if state.http == http.StateNew {
			_ = conn.Close()
		}
	}
}

// count returns how many connections are open, and how many of these have not sent a request.
func (c *callerConns) count() (open, unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.open {
		if state.http == http.StateNew {
			unread++
		}
	}
	return len(c.open), unread
}

// awaitRead waits until every open connection has sent a request or ctx ends.
func (c *callerConns) awaitRead(ctx context.Context) {
	for ctx.Err() == nil {
		if _, unread := c.count(); unread == 0 {
			return
		}
		loop.Sleep(ctx, connCheckInterval)
	}
}

// awaitEnd waits until all connections have ended, and reports whether they have before ctx ends.
func (c *callerConns) awaitEnd(ctx context.Context) bool {
	for ctx.Err() == nil {
		if open, _ := c.count(); open == 0 {
			return true
		}
		loop.Sleep(ctx, connCheckInterval)
	}
	return false
}
