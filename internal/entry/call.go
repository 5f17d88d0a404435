package entry

import (
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
)

const (
	defaultTimeout  = 60 * time.Second
	maxTimeout      = 10 * time.Minute
	bearerPrefix    = "Bearer "
	defaultPriority = 5
	maxPriority     = 9
)

// call is one caller's request in progress on this node.
type call struct {
	ctx       *fasthttp.RequestCtx
	config    *config.Config
	workspace string
	id        string // request ID, the same from the caller to the engine
	priority  int    // 0 to maxPriority, highest first; orders the requests of one workspace
	deadline  time.Time
	started   time.Time
}

// prepareCall checks the headers and the credential that every request needs and returns the call.
func (s *Server) prepareCall(ctx *fasthttp.RequestCtx, id string) (*call, *failure) {
	if reason := headerAmbiguity(&ctx.Request.Header); reason != "" {
		return nil, notRun(fasthttp.StatusBadRequest, reason)
	}
	current := s.Current()
	if f := s.checkReady(current); f != nil {
		return nil, f
	}
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(header) <= len(bearerPrefix) || header[:len(bearerPrefix)] != bearerPrefix {
		return nil, notRun(fasthttp.StatusUnauthorized, "give a caller's credential as Authorization: Bearer TOKEN")
	}
	workspace, ok := current.CallerWorkspace(header[len(bearerPrefix):])
	if !ok {
		return nil, notRun(fasthttp.StatusUnauthorized, "the credential is not known")
	}
	now := clock.Now()
	timeout, f := parseTimeout(ctx)
	if f != nil {
		return nil, f
	}
	priority, f := parsePriority(ctx)
	if f != nil {
		return nil, f
	}
	return &call{ctx, current, workspace, id, priority, now.Add(timeout), now}, nil
}

// checkReady refuses new requests while this node has no configuration, or when its last contact with the
// platform or another node is more than maxContactAge ago and its configuration may be out of date.
func (s *Server) checkReady(current *config.Config) *failure {
	if current == nil {
		return unavailable("no configuration is in force at this address", time.Second)
	}
	if clock.Since(s.Contact.Last()) > maxContactAge {
		return unavailable("this address hears neither the platform nor another node; use another one", time.Second)
	}
	return nil
}

func parseTimeout(ctx *fasthttp.RequestCtx) (time.Duration, *failure) {
	text := ctx.Request.Header.Peek(deadlineHeader)
	if len(text) == 0 {
		return defaultTimeout, nil
	}
	ms, err := strconv.Atoi(string(text))
	if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > maxTimeout {
		return 0, notRun(fasthttp.StatusBadRequest, deadlineHeader+" must be a number of milliseconds between 1 and 600000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parsePriority reads the priority of the request among those of its workspace. The header is also forwarded
// to the engine.
func parsePriority(ctx *fasthttp.RequestCtx) (int, *failure) {
	text := ctx.Request.Header.Peek(priorityHeader)
	if len(text) == 0 {
		return defaultPriority, nil
	}
	priority, err := strconv.Atoi(string(text))
	if err != nil || priority < 0 || priority > maxPriority {
		return 0, notRun(fasthttp.StatusBadRequest, priorityHeader+" must be a number from 0 to 9")
	}
	return priority, nil
}

// remaining returns the time until the call's deadline.
func (c *call) remaining() time.Duration { return clock.Until(c.deadline) }

// requestID returns the caller's request ID if it has at most 128 characters, all of them letters, digits, '-',
// '_' or '.'; otherwise it returns a new UUID.
func requestID(ctx *fasthttp.RequestCtx) string {
	const maxLength = 128
	given := ctx.Request.Header.Peek(requestIDHeader)
	if len(given) == 0 || len(given) > maxLength {
		return uuid.NewString()
	}
	for _, b := range given {
		plain := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.'
		if !plain {
			return uuid.NewString()
		}
	}
	return string(given)
}
