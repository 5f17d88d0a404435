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
	defaultDeadline = 60 * time.Second
	maxDeadline     = 10 * time.Minute
	bearer          = "Bearer "
	defaultPriority = 5
	maxPriority     = 9
)

// call is one caller's request while this node works on it.
type call struct {
	ctx       *fasthttp.RequestCtx
	config    *config.Config
	workspace string
	id        string // request id, from end to end
	priority  int    // among its workspace's requests
	deadline  time.Time
	started   time.Time
}

// open checks what every request must have.
func (s *Server) open(ctx *fasthttp.RequestCtx, id string) (*call, *failure) {
	if what := unsafeHeaders(&ctx.Request.Header); what != "" {
		return nil, notRun(fasthttp.StatusBadRequest, what)
	}
	current := s.Current()
	if f := s.accepting(current); f != nil {
		return nil, f
	}
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(header) <= len(bearer) || header[:len(bearer)] != bearer {
		return nil, notRun(fasthttp.StatusUnauthorized, "give a caller's credential as Authorization: Bearer TOKEN")
	}
	workspace, ok := current.CallerWorkspace(header[len(bearer):])
	if !ok {
		return nil, notRun(fasthttp.StatusUnauthorized, "the credential is not known")
	}
	now := clock.Now()
	patience, f := patienceOf(ctx)
	if f != nil {
		return nil, f
	}
	priority, f := priorityOf(ctx)
	if f != nil {
		return nil, f
	}
	return &call{ctx, current, workspace, id, priority, now.Add(patience), now}, nil
}

// accepting refuses new work while this node cannot know what is in force.
func (s *Server) accepting(current *config.Config) *failure {
	if current == nil {
		return notRunYet("no configuration is in force at this address", time.Second)
	}
	if clock.Since(s.Contact.Last()) > contactLimit {
		return notRunYet("this address hears neither the platform nor another node; use another one", time.Second)
	}
	return nil
}

func patienceOf(ctx *fasthttp.RequestCtx) (time.Duration, *failure) {
	text := ctx.Request.Header.Peek(deadlineHeader)
	if len(text) == 0 {
		return defaultDeadline, nil
	}
	ms, err := strconv.Atoi(string(text))
	if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > maxDeadline {
		return 0, notRun(fasthttp.StatusBadRequest, deadlineHeader+" must be a number of milliseconds between 1 and 600000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// priorityOf reads the caller's priority among its workspace's requests; it travels on to the engine.
func priorityOf(ctx *fasthttp.RequestCtx) (int, *failure) {
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

// left is how long the call may still take.
func (c *call) left() time.Duration { return clock.Until(c.deadline) }

// requestID returns the caller's id if it is a plain one, or a new one.
func requestID(ctx *fasthttp.RequestCtx) string {
	const longest = 128
	given := ctx.Request.Header.Peek(requestIDHeader)
	if len(given) == 0 || len(given) > longest {
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
