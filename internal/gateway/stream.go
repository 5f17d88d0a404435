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

// stream serves a request whose answer is a stream of events. A stream that may be resumed goes on at another
// replica group when its group fails or stands still.
func (f *flight) stream(ctx context.Context) {
	for {
		place, err := f.acquire(ctx)
		if err != nil {
			f.noPlace(ctx, err)
			return
		}
		again := f.streamOnce(ctx, place)
		place.Release()
		if !again {
			return
		}
		f.avoid(place)
	}
}

// streamOnce sends the request once, passes on what comes, and reports whether it is to be sent again.
func (f *flight) streamOnce(ctx context.Context, place *picker.Place) bool {
	sent := f.sending(place, "group", place.Group, "resume_after", f.resumeAfter(), "prompt_tokens", f.request.PromptTokens, "requests", place.Requests)
	reply, err := f.exchange.Send(ctx, f.attempt(place, true))
	if err != nil {
		return f.streamFailed(ctx, place, err)
	}
	defer reply.Close()
	s := &streaming{flight: f, place: place, reply: reply, sent: sent, last: sent}
	head, err := s.head(ctx)
	f.heed(place, head, sent)
	switch {
	case err != nil:
		return f.streamFailed(ctx, place, err)
	case head.NotRun:
		f.shed(place, head)
		return f.notRun(ctx, place)
	case !head.OK() || !head.Events:
		return f.plainAnswer(ctx, place, reply, head)
	}
	if !f.begun {
		if err := f.exchange.Begin(reply); err != nil {
			f.log("caller lost", false, "err", err)
			return false
		}
		f.begun = true
	}
	if err := s.events(ctx); err != nil {
		return f.streamFailed(ctx, place, err)
	}
	f.ran++
	f.cleared(clock.Now())
	f.gateway.meters.done(head.Status, clock.Since(f.request.Received))
	f.log("answered", false, "endpoint", place.Endpoint.ID, "group", place.Group, "sends", f.sends, "last", f.lastID,
		"first_ms", f.delivery.first.Sub(f.request.Received).Milliseconds(), "pause_ms", f.delivery.pause.Milliseconds(), "ms", clock.Since(f.request.Received).Milliseconds())
	return false
}

// plainAnswer passes on a failure of the endpoint, unless a stream has begun or the request may go elsewhere.
func (f *flight) plainAnswer(ctx context.Context, place *picker.Place, reply Reply, head Head) bool {
	place.RecordFailure(false, clock.Now())
	f.ran++
	if head.Status >= serverError && ctx.Err() == nil && f.mayResend(verdict.Ran) {
		f.log("resend", false, "endpoint", place.Endpoint.ID, "status", head.Status)
		return true
	}
	if f.begun {
		f.fail(ctx, "the stream could not be resumed")
		return false
	}
	body, err := reply.Body(f.deadline)
	if err != nil {
		f.fail(ctx, err.Error())
		return false
	}
	err = f.exchange.Whole(reply, body)
	f.gateway.meters.done(head.Status, clock.Since(f.request.Received))
	f.misserved = true
	f.log("answered", true, "endpoint", place.Endpoint.ID, "status", head.Status, "sends", f.sends, "err", err)
	return false
}

// errStandsStill means that nothing comes from the group any more; the repeat is paid.
var errStandsStill = errors.New("the replica group stands still")

// errCaller means that the caller does not take the answer any more.
var errCaller = errors.New("the caller is gone")

func (f *flight) streamFailed(ctx context.Context, place *picker.Place, err error) bool {
	v := verdict.Of(err)
	f.suspect(ctx, place, err)
	f.log("failed", false, "endpoint", place.Endpoint.ID, "group", place.Group, "verdict", v.String(), "fingerprint", f.fingerprint, "err", err,
		"last", f.lastID)
	switch {
	case errors.Is(err, errCaller):
		f.exchange.Abort()
		return false
	case errors.Is(err, errStandsStill):
		f.ran++
		return true
	case v == verdict.NotRun:
		place.RecordFailure(true, clock.Now())
		return f.notRun(ctx, place)
	}
	f.ran++
	if ctx.Err() == nil {
		place.RecordFailure(false, clock.Now())
		if f.mayResend(v) {
			return true
		}
	}
	f.fail(ctx, err.Error())
	return false
}

// lookAgain is how often a stream that stands still looks whether its group is known to be lost.
const lookAgain = 100 * time.Millisecond

// streaming is one endpoint's stream while it arrives.
type streaming struct {
	flight *flight
	place  *picker.Place
	reply  Reply
	sent   time.Time
	last   time.Time // sign of life on this stream
	begun  bool      // an event has come
}

func (s *streaming) head(ctx context.Context) (Head, error) {
	for {
		head, err := s.reply.Head(s.until())
		if !errors.Is(err, ErrNotYet) {
			return head, err
		}
		if err := s.still(ctx); err != nil {
			return head, err
		}
	}
}

// until returns when to look again if nothing has come.
func (s *streaming) until() time.Time {
	doubt, until := s.place.StallDeadlines(s.last, s.begun)
	now := clock.Now()
	switch {
	case now.Before(doubt):
		until = doubt
	case now.Add(lookAgain).Before(until):
		until = now.Add(lookAgain)
	}
	if until.After(s.flight.deadline) {
		return s.flight.deadline
	}
	return until
}

// still decides what to do when nothing has come in time.
func (s *streaming) still(ctx context.Context) error {
	now := clock.Now()
	if err := ctx.Err(); err != nil || !now.Before(s.flight.deadline) {
		return verdict.New(verdict.MayHaveRun, context.DeadlineExceeded)
	}
	doubt, until := s.place.StallDeadlines(s.last, s.begun)
	if now.Before(doubt) {
		return nil // another stream of the group has gone on
	}
	s.place.RecordStall(now)
	if now.Before(until) && !s.place.Lost(now) {
		return nil
	}
	s.flight.gateway.meters.stalls.Inc(1)
	s.flight.ran++
	again := s.flight.mayResend(verdict.MayHaveRun)
	s.flight.ran--
	if again {
		return errStandsStill
	}
	s.last = now
	return nil
}

// events passes events on until the stream ends.
func (s *streaming) events(ctx context.Context) error {
	for {
		e, err := s.reply.Next(s.until())
		if errors.Is(err, ErrNotYet) {
			if err := s.still(ctx); err != nil {
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
		s.note(clock.Now())
		if err := s.flight.exchange.Event(e); err != nil {
			return errCaller
		}
		if e.ID != "" {
			s.flight.lastID = e.ID
		}
	}
}

func (s *streaming) note(now time.Time) {
	if s.begun {
		s.place.RecordEvent(now.Sub(s.last), now)
	} else {
		s.place.RecordFirstEvent(now.Sub(s.sent), now)
	}
	if s.flight.delivery.first.IsZero() {
		s.flight.gateway.meters.first.Record(now.Sub(s.flight.request.Received))
	}
	s.flight.delivery.event(now)
	s.begun = true
	s.last = now
}
