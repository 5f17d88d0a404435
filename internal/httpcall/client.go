// Package httpcall makes single HTTP calls to endpoints and reports for each failure whether the request may have run. It never
// retries a call.
package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"moorrun.dev/moorrun/internal/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("call")

const (
	maxIdleTime       = 4 * time.Second
	maxIdlePerAddress = 256
	dialTimeout       = time.Second
)

const shardCount = 16

// Client makes calls and pools idle connections by address.
type Client struct {
	// DialTimeout bounds the dialing of a new connection. It must not change after the first call.
	DialTimeout time.Duration
	// DialEndpoint opens the connections of calls with Options.Endpoint; nil connects to the address itself. It must not change
	// after the first call.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)

	shards [shardCount]shard
}

// shard holds the idle connections to a subset of the addresses.
type shard struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a Client without connections.
func NewClient() *Client {
	c := &Client{DialTimeout: dialTimeout}
	for i := range c.shards {
		c.shards[i].idle = make(map[string][]*conn)
	}
	return c
}

func (c *Client) shard(address string) *shard {
	return &c.shards[xxhash.Sum64String(address)%shardCount]
}

// Do sends request to address and reads the response's header, and its body unless Options.Stream is set. A non-nil error is a
// *verdict.Error.
func (c *Client) Do(ctx context.Context, address string, request *fasthttp.Request, o Options) (*Answer, error) {
	deadline := time.Now().Add(o.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	a, err := c.start(ctx, address, request, o, deadline)
	if err != nil {
		return nil, err
	}
	if err := a.Receive(o); err != nil {
		_ = a.Close()
		return nil, err
	}
	if o.Stream {
		a.clearDeadline()
	}
	return a, nil
}

// Start sends request to address and returns without waiting for the response, for which Await and Receive are called later.
// Options.Timeout bounds the sending. A non-nil error is a *verdict.Error.
func (c *Client) Start(ctx context.Context, address string, request *fasthttp.Request, o Options) (*Answer, error) {
	a, err := c.start(ctx, address, request, o, time.Now().Add(o.Timeout))
	if err != nil {
		return nil, err
	}
	a.clearDeadline()
	return a, nil
}

func (c *Client) start(ctx context.Context, address string, request *fasthttp.Request, o Options, deadline time.Time) (*Answer, error) {
	k, err := c.connect(ctx, address, o, deadline)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, Error.Wrap(err))
	}
	a := &Answer{client: c, conn: k, sent: time.Now()}
	_ = k.SetDeadline(deadline)
	a.watchCancel(ctx)
	if err := a.send(request); err != nil {
		_ = a.Close()
		return nil, verdict.New(verdict.MayHaveRun, Error.Wrap(err))
	}
	return a, nil
}

func (a *Answer) send(request *fasthttp.Request) error {
	if err := request.Write(a.conn.writer); err != nil {
		return err
	}
	return a.conn.writer.Flush()
}

// Receive reads the response's header, and its body unless Options.Stream is set. A non-nil error is a *verdict.Error.
func (a *Answer) Receive(o Options) error {
	if err := a.receive(o); err != nil {
		return verdict.New(verdict.MayHaveRun, Error.Wrap(err))
	}
	return nil
}

func (a *Answer) receive(o Options) error {
	a.Response.StreamBody = o.Stream
	a.conn.allowance.left = maxOverhead
	if err := awaitHead(a.conn.reader); err != nil {
		return err
	}
	if o.Stream {
		err := a.Response.Read(a.conn.reader)
		a.header = err == nil
		a.received = a.received || a.header
		return a.readError(err)
	}
	limit := o.MaxBody
	if limit == 0 {
		limit = DefaultMaxBody
	}
	a.conn.allowance.left = maxOverhead + 2*limit // chunks may take as much again
	if err := a.Response.ReadLimitBody(a.conn.reader, limit); err != nil {
		return a.readError(err)
	}
	a.complete, a.received = true, true
	return nil
}

func (c *Client) connect(ctx context.Context, address string, o Options, deadline time.Time) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if !o.Fresh {
		if k := c.take(address); k != nil {
			return k, nil
		}
	}
	wait := min(time.Until(deadline), c.DialTimeout)
	if wait <= 0 {
		return nil, context.DeadlineExceeded
	}
	raw, err := c.dial(ctx, address, o.Endpoint, wait)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address), nil
}

func (c *Client) dial(ctx context.Context, address string, endpoint bool, timeout time.Duration) (net.Conn, error) {
	if endpoint && c.DialEndpoint != nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return c.DialEndpoint(ctx, address)
	}
	d := net.Dialer{Timeout: timeout}
	return d.DialContext(ctx, "tcp", address)
}

func (c *Client) take(address string) *conn {
	now := time.Now()
	for {
		k := c.pop(address)
		if k == nil || k.usable(now) {
			return k
		}
		_ = k.Close()
	}
}

func (c *Client) pop(address string) *conn {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	s.idle[address] = list[:len(list)-1]
	return k
}

func (c *Client) put(k *conn) {
	_ = k.SetDeadline(time.Time{})
	k.idleSince, k.reused = time.Now(), true
	s := c.shard(k.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[k.address]) >= maxIdlePerAddress {
		_ = k.Close()
		return
	}
	s.idle[k.address] = append(s.idle[k.address], k)
}

// Drop closes the idle connections to an address.
func (c *Client) Drop(address string) {
	s := c.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.idle[address] {
		_ = k.Close()
	}
	delete(s.idle, address)
}

// Sweep closes connections that have been idle longer than maxIdleTime or are not to be reused. It should be called periodically.
func (c *Client) Sweep() {
	now := time.Now()
	for i := range c.shards {
		c.shards[i].sweep(now)
	}
}

func (s *shard) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, list := range s.idle {
		kept := list[:0]
		for _, k := range list {
			if !k.keepable(now) {
				_ = k.Close()
				continue
			}
			kept = append(kept, k)
		}
		if len(kept) == 0 {
			delete(s.idle, address)
			continue
		}
		s.idle[address] = kept
	}
}

// IsBroken reports whether err is the end or the failure of a connection, or a timeout, rather than an answer that cannot be read.
func IsBroken(err error) bool {
	var network net.Error
	return errors.As(err, &network) || IsTimeout(err) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// IsTimeout reports whether err is an exceeded deadline rather than a broken connection. ETIMEDOUT is the latter, although its method
// Timeout says otherwise: the kernel has given the peer up.
func IsTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}
