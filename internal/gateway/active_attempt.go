package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/verdict"
)

const (
	// stopPollInterval is how often a request that waits at an endpoint is checked for having to be stopped after an ending.
	stopPollInterval = 30 * time.Millisecond
	// lostPollInterval is how often a stalled stream checks whether the leader has found that its group has lost a member.
	lostPollInterval = 100 * time.Millisecond
	// longBody is the size of a request's body, in bytes, from which sending it may wait for the endpoint to read. The kernel takes more
	// than that at once.
	longBody = 64 << 10
	// sendStallTime is how long a long body may take to be sent before another attempt is made beside it.
	sendStallTime = 2 * time.Second
	// maxWakeDelay is how late a wait may end on a busy machine. If one ends later, this process was stopped meanwhile.
	maxWakeDelay = 100 * time.Millisecond
)

// activeAttempt is one attempt of a request while it is served. Several attempts of a request may run side by side, each used by one
// goroutine at a time.
type activeAttempt struct {
	gateway   *Gateway
	exchange  Exchange
	place     *picker.Place
	attempt   Attempt
	deadline  time.Time
	signature *quarantine.Signature
	trial     []quarantine.Fingerprint // holds that the attempt is sent in spite of

	ctx    context.Context //nolint:containedctx // of this attempt, which ends before its request if another one answers
	cancel context.CancelFunc

	long    bool       // the request's body is long
	sending chan error // receives the result of sending a long body; nil if that has not begun, or is not done in the background
	reply   Reply      // nil until the request has been sent
	sent    time.Time
	head    *Head     // nil until it has arrived
	body    []byte    // of a whole answer
	last    time.Time // last event, or when the request was sent
	begun   bool      // an event has arrived
	order   eventOrder
}

// outcome is what waiting for an attempt has led to: an event or a whole answer, or an error.
type outcome struct {
	attempt *activeAttempt
	event   Event
	err     error // errWhole after the last event; errNotStream if the answer is not the expected stream
}

var (
	// errWhole means that the stream is complete.
	errWhole = errors.New("the stream is complete")
	// errNotStream means that the head of an answer has arrived and is not that of a stream of events with a success status.
	errNotStream = errors.New("the answer is not a stream of events")
	// errStalled means that nothing has arrived for so long that the group may have stalled.
	errStalled = errors.New("the replica group stands still")
	// errHedged means that no answer has arrived within the hedging delay.
	errHedged = errors.New("no answer within the hedging delay")
	// errHeldBack means that what the request holds began to be held back while it waited at an endpoint.
	errHeldBack = errors.New("endpoints have ended under what the request holds; it is stopped before it begins")
)

// close releases the attempt's place and cancels the request at its endpoint if it still runs there.
func (t *activeAttempt) close() {
	if t.reply != nil {
		t.reply.Close()
	}
	t.cancel()
	t.place.Release()
}

// await waits for the next event of a stream, or for the whole answer of a call, until the deadline.
func (t *activeAttempt) await() outcome {
	if t.attempt.Stream {
		return t.awaitEvent(false)
	}
	return t.awaitAnswer(t.deadline)
}

// awaitAnswer waits for a whole answer. It returns errHedged if its head has not arrived by hedgeAt and that is before the deadline.
func (t *activeAttempt) awaitAnswer(hedgeAt time.Time) outcome {
	if err := t.send(hedgeAt.Before(t.deadline)); err != nil {
		return outcome{attempt: t, err: err}
	}
	head, err := t.reply.Head(hedgeAt)
	if errors.Is(err, ErrNotYet) && clock.Since(hedgeAt) > maxWakeDelay {
		head, err = t.reply.Head(clock.Now().Add(maxWakeDelay)) // what has arrived while this process was stopped
	}
	if errors.Is(err, ErrNotYet) && hedgeAt.Before(t.deadline) && t.ctx.Err() == nil {
		return outcome{attempt: t, err: errHedged}
	}
	t.recordHead(head)
	if err == nil && !head.NotRun {
		t.body, err = t.reply.Body(t.deadline)
	}
	return outcome{attempt: t, err: err}
}

// awaitEvent waits for the next event. With hedge set it returns errStalled when the group may have stalled, and can be called again.
func (t *activeAttempt) awaitEvent(hedge bool) outcome {
	if err := t.send(hedge); err != nil {
		return outcome{attempt: t, err: err}
	}
	for {
		until := t.nextCheck()
		event, err := t.poll(until)
		switch {
		case err == nil:
			t.recordEvent(clock.Now())
			return outcome{attempt: t, event: event}
		case !errors.Is(err, ErrNotYet):
			return outcome{attempt: t, err: err}
		}
		if late := clock.Since(until); late > maxWakeDelay {
			t.last = t.last.Add(late + maxWakeDelay) // nothing could be received while this process was stopped
		}
		if err := t.checkStall(hedge); err != nil {
			return outcome{attempt: t, err: err}
		}
	}
}

// send sends the request unless that has been done. With hedge set it returns errHedged if sending a long body takes long, and can be
// called again.
func (t *activeAttempt) send(hedge bool) error {
	if t.reply != nil {
		return nil
	}
	if t.sending == nil {
		if !hedge || !t.long {
			return t.sendNow()
		}
		t.sending = make(chan error, 1)
		go func() { t.sending <- t.sendNow() }()
	}
	if !hedge {
		return <-t.sending
	}
	select {
	case err := <-t.sending:
		return err
	case <-time.After(sendStallTime):
		return errHedged
	}
}

func (t *activeAttempt) sendNow() error {
	reply, err := t.exchange.Send(t.ctx, t.attempt)
	if err == nil {
		t.reply = reply
	}
	return err
}

// poll waits for the head of a stream and its next event until the given time.
func (t *activeAttempt) poll(until time.Time) (Event, error) {
	if t.head == nil {
		head, err := t.reply.Head(until)
		if errors.Is(err, ErrNotYet) {
			return Event{}, err
		}
		t.recordHead(head)
		if err != nil {
			return Event{}, err
		}
	}
	if t.head.NotRun || !t.head.OK() || !t.head.Events {
		return Event{}, errNotStream
	}
	event, err := t.reply.Next(until)
	if err == nil {
		err = t.order.next(event.ID)
		t.begun = t.begun || err != nil // the endpoint has begun to answer, wrongly
	}
	if err == io.EOF { //nolint:errorlint // an end of the connection that is no end of the stream may be wrapped
		return Event{}, errWhole
	}
	return event, err
}

// recordHead records the head of the answer and the rate limit, leaving and pause that the endpoint announced in it, if an answer has
// arrived.
func (t *activeAttempt) recordHead(head Head) {
	t.head = &head
	if head.Status == 0 {
		return
	}
	now := clock.Now()
	t.place.RecordLimit(head.Limit, t.sent, now)
	if head.Leaving {
		t.place.RecordLeaving(now)
	}
	if head.RetryAfter > 0 {
		t.gateway.metrics.pauses.Inc(1)
		t.place.RecordPause(head.RetryAfter, now)
	}
}

func (t *activeAttempt) recordEvent(now time.Time) {
	if t.begun {
		t.place.RecordEvent(now.Sub(t.last), now)
	} else {
		t.place.RecordFirstEvent(now.Sub(t.sent), now)
		t.gateway.Quarantine.Begun(t.signature.Parts, now)
	}
	t.begun = true
	t.last = now
}

// nextCheck returns when to check for a stall if nothing has arrived until then.
func (t *activeAttempt) nextCheck() time.Time {
	suspectAt, next := t.place.StallDeadlines(t.last, t.begun)
	now := clock.Now()
	switch {
	case now.Before(suspectAt):
		next = suspectAt
	case !now.Before(next), now.Add(lostPollInterval).Before(next):
		next = now.Add(lostPollInterval)
	}
	if poll := now.Add(stopPollInterval); !t.begun && poll.Before(next) && t.gateway.Quarantine.Alert(now) {
		next = poll
	}
	if next.After(t.deadline) {
		return t.deadline
	}
	return next
}

// checkStall handles a wait in which nothing has arrived. It returns nil to go on waiting, errStalled if the group may have stalled and
// hedge is set, or an error if the request's deadline has passed or it must be stopped.
func (t *activeAttempt) checkStall(hedge bool) error {
	now := clock.Now()
	if err := t.ctx.Err(); err != nil || !now.Before(t.deadline) {
		return verdict.New(verdict.MayHaveRun, context.DeadlineExceeded)
	}
	if !t.begun && t.mustStop(now) {
		return errHeldBack
	}
	suspectAt, timeoutAt := t.place.StallDeadlines(t.last, t.begun)
	if now.Before(suspectAt) {
		return nil // another stream of the group has received an event
	}
	t.place.RecordStall(now)
	if !hedge || now.Before(timeoutAt) && !t.place.Lost(now) {
		return nil
	}
	t.gateway.metrics.stalls.Inc(1)
	return errStalled
}

// mustStop reports whether the attempt, which waits to be answered, must be stopped.
func (t *activeAttempt) mustStop(now time.Time) bool {
	stop := t.gateway.Quarantine.MustStop(t.signature, t.trial, now)
	if stop {
		t.gateway.metrics.stopped.Inc(1)
	}
	return stop
}

// isWhole reports whether the outcome is a complete stream.
func (o *outcome) isWhole() bool { return errors.Is(o.err, errWhole) }
