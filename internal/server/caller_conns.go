package server

import (
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
	mu   sync.Mutex
	open map[net.Conn]http.ConnState
}

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

func (c *callerConns) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if c.open == nil {
		c.open = make(map[net.Conn]http.ConnState)
	}
	c.open[conn] = state
}

// closeUnread closes the connections that have not sent a request.
func (c *callerConns) closeUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.open {
		if state == http.StateNew {
			_ = conn.Close()
		}
	}
}

// count returns how many connections are open, and how many of these have not sent a request.
func (c *callerConns) count() (open, unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.open {
		if state == http.StateNew {
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
