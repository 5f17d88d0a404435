package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/verdict"
)

// serveStream serves a request whose answer is a stream of events. A resumable stream continues at another replica group when its
// group fails or stalls.
func (a *activeRequest) serveStream(ctx context.Context) {
	for {
		place, err := a.acquire(ctx)
		if err != nil {
			a.refuseWithoutPlace(ctx, err)
			return
		}
		again := a.streamOnce(ctx, place)
		place.Release()
		if !again {
			return
		}
		a.exclude(place)
	}
}

// streamOnce sends the request to the place's endpoint, passes on its events, and reports whether to send it again elsewhere.
func (a *activeRequest) streamOnce(ctx context.Context, place *picker.Place) bool {
	sent := a.recordSend(place, "group", place.Group, "resume_after", a.resumeAfter(), "prompt_tokens", a.request.PromptTokens, "requests", place.Requests)
	reply, err := a.exchange.Send(ctx, a.attempt(place, true))
	if err != nil {
		return a.streamFailed(ctx, place, err, false)
	}
	defer reply.Close()
	s := &streamReader{active: a, place: place, reply: reply, sent: sent, last: sent}
	head, err := s.awaitHead(ctx)
	a.recordAnnouncements(place, head, sent)
	switch {
	case err != nil:
		return a.streamFailed(ctx, place, err, false)
	case head.NotRun:
		a.recordNotRun(place, head)
		return a.afterNotRun(ctx)
	case !head.OK() || !head.Events:
		return a.nonStreamAnswer(ctx, place, reply, head)
	}
	if !a.begun {
		if err := a.exchange.BeginStream(reply); err != nil {
			a.recordWriteError(err)
			a.log("caller lost", false, "err", err)
			return false
		}
		a.begun = true
	}
	if err := s.copyEvents(ctx); err != nil {
		return a.streamFailed(ctx, place, err, s.begun)
	}
	a.ran++
	a.reportAnswered(clock.Now())
	a.gateway.metrics.recordAnswer(head.Status, clock.Since(a.request.Received))
	a.log("answered", false, "endpoint", place.Endpoint.ID, "group", place.Group, "sends", a.sends, "last", a.lastID,
		"first_ms", a.delivery.first.Sub(a.request.Received).Milliseconds(), "pause_ms", a.delivery.longestGap.Milliseconds(), "ms", clock.Since(a.request.Received).Milliseconds())
	return false
}

// nonStreamAnswer handles an answer that is not a stream of events with a success status. It reports whether to send the request
// again, and otherwise passes the answer on, or refuses the request if a stream has begun.
func (a *activeRequest) nonStreamAnswer(ctx context.Context, place *picker.Place, reply Reply, head Head) bool {
	a.recordFailedAnswer(place, head)
	a.ran++
	if head.Status >= minServerErrorStatus && ctx.Err() == nil && a.mayResend(verdict.Ran) {
		return true
	}
	if a.begun {
		a.fail(ctx, "the stream could not be resumed")
		return false
	}
	body, err := reply.Body(a.deadline)
	if err != nil {
		a.fail(ctx, err.Error())
		return false
	}
	err = a.exchange.WriteAnswer(reply, body)
	a.recordWriteError(err)
	a.gateway.metrics.recordAnswer(head.Status, clock.Since(a.request.Received))
	a.unsuccessful = true
	a.log("answered", true, "endpoint", place.Endpoint.ID, "status", head.Status, "sends", a.sends, "err", err)
	return false
}

// errStalled means that the group has stalled and the request is to be sent to another one. The attempt has already been taken
// from the retry budget.
var errStalled = errors.New("the replica group stands still")

// errCallerGone means that events can no longer be passed on to the caller.
var errCallerGone = errors.New("the caller has disconnected")

// streamFailed handles an attempt that ended without a complete answer and reports whether to send the request again. begun means
// that an event of the answer has arrived.
func (a *activeRequest) streamFailed(ctx context.Context, place *picker.Place, err error, begun bool) bool {
	v := verdict.Of(err)
	a.reportFailure(ctx, place, err, begun)
	a.recordEnd(ctx, err, "endpoint", place.Endpoint.ID, "group", place.Group, "verdict", v.String(), "fingerprint", a.signature.Request,
		"prompt_parts", a.request.PromptParts, "begun", begun, "last", a.lastID)
	switch {
	case errors.Is(err, errCallerGone):
		a.exchange.Abort()
		return false
	case errors.Is(err, errHeldBack):
		a.ran++
		a.fail(ctx, err.Error())
		return false
	case errors.Is(err, errStalled):
		a.ran++
		return true
	case v == verdict.NotRun:
		a.recordPlaceFailure(place, err)
		return a.afterNotRun(ctx)
	}
	a.ran++
	if ctx.Err() == nil {
		a.recordPlaceFailure(place, err)
		if a.mayResend(v) {
			return true
		}
	}
	a.fail(ctx, err.Error())
	return false
}

// errHeldBack means that what the request holds began to be held back while it waited at an endpoint.
var errHeldBack = errors.New("endpoints have ended under what the request holds; it is stopped before it begins")

// stopPollInterval is how often a request that waits at an endpoint is checked for having to be stopped after an ending.
const stopPollInterval = 30 * time.Millisecond

// lostPollInterval is how often a stalled stream checks whether the leader has found that its group has lost a member.
const lostPollInterval = 100 * time.Millisecond

// streamReader reads the stream of one attempt.
type streamReader struct {
	active *activeRequest
	place  *picker.Place
	reply  Reply
	sent   time.Time
	last   time.Time // last event, or the start of the present wait for one
	begun  bool      // an event has arrived
}

func (s *streamReader) awaitHead(ctx context.Context) (Head, error) {
	for {
		head, err := s.reply.Head(s.nextCheck())
		if !errors.Is(err, ErrNotYet) {
			return head, err
		}
		if err := s.checkStall(ctx); err != nil {
			return head, err
		}
	}
}

// nextCheck returns when to check for a stall if nothing has arrived until then.
func (s *streamReader) nextCheck() time.Time {
	suspectAt, next := s.place.StallDeadlines(s.last, s.begun)
	now := clock.Now()
	switch {
	case now.Before(suspectAt):
		next = suspectAt
	case now.Add(lostPollInterval).Before(next):
		next = now.Add(lostPollInterval)
	}
	if poll := now.Add(stopPollInterval); !s.begun && poll.Before(next) && s.active.gateway.Quarantine.Alert(now) {
		next = poll
	}
	if next.After(s.active.deadline) {
		return s.active.deadline
	}
	return next
}

// checkStall handles a wait in which nothing has arrived. It returns nil to go on waiting, errStalled to send the request
// elsewhere, or an error if the request's deadline has passed or it must be stopped.
func (s *streamReader) checkStall(ctx context.Context) error {
	now := clock.Now()
	if err := ctx.Err(); err != nil || !now.Before(s.active.deadline) {
		return verdict.New(verdict.MayHaveRun, context.DeadlineExceeded)
	}
	if !s.begun && s.active.mustStop(now) {
		return errHeldBack
	}
	suspectAt, timeoutAt := s.place.StallDeadlines(s.last, s.begun)
	if now.Before(suspectAt) {
		return nil // another stream of the group has received an event
	}
	s.place.RecordStall(now)
	if now.Before(timeoutAt) && !s.place.Lost(now) {
		return nil
	}
	s.active.gateway.metrics.stalls.Inc(1)
	s.active.ran++
	again := s.active.mayResend(verdict.MayHaveRun)
	s.active.ran--
	if again {
		return errStalled
	}
	s.last = now
	return nil
}

// copyEvents passes events on to the caller until the stream ends.
func (s *streamReader) copyEvents(ctx context.Context) error {
	for {
		e, err := s.reply.Next(s.nextCheck())
		if errors.Is(err, ErrNotYet) {
			if err := s.checkStall(ctx); err != nil {
				return err
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.recordEvent(clock.Now())
		if err := s.active.exchange.WriteEvent(e); err != nil {
			s.active.recordWriteError(err)
			return errCallerGone
		}
		if e.ID != "" {
			s.active.lastID = e.ID
		}
	}
}

func (s *streamReader) recordEvent(now time.Time) {
	if s.begun {
		s.place.RecordEvent(now.Sub(s.last), now)
	} else {
		s.place.RecordFirstEvent(now.Sub(s.sent), now)
		s.active.reportBegun(now)
	}
	if s.active.delivery.first.IsZero() {
		s.active.gateway.metrics.firstEvent.Record(now.Sub(s.active.request.Received))
	}
	s.active.delivery.record(now)
	s.begun = true
	s.last = now
}
