package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/verdict"
)

var (
	endMarker    = []byte("data: [DONE]\n\n")
	eventEnd     = []byte("\n\n")
	errTruncated = errors.New("the engine's answer ended before it was complete")
)

const (
	// maxSilence is how long an engine may send nothing within an answer, and maxUnseenSilence how long it may do so while there is no
	// evidence that all VMs of its group are present. That bounds the wait where nobody can end the group, because the store is down or
	// this node is cut off.
	maxSilence             = 20 * time.Second
	maxUnseenSilence       = 5 * time.Second
	tailBytes              = 16
	timeoutRefreshInterval = time.Second
	awaitTimeout           = 2 * time.Second
	// silentPollInterval is how often a silent stream checks whether its group has been ended.
	silentPollInterval = 250 * time.Millisecond
	cancelTimeout      = 500 * time.Millisecond
)

// streamBody relays an engine's answer to the caller as it arrives. A truncated answer never looks complete: the
// caller gets an error event, if the answer is an event stream, and an unfinished body.
type streamBody struct {
	server  *Server
	attempt *attempt
	answer  *httpcall.Answer
	marker  []byte // end of a complete stream; nil for an answer with a length

	timeoutSetAt time.Time       // when the read timeout was last set
	tail         [tailBytes]byte // last bytes relayed
	tailLen      int
	events       int64
	firstReadAt  time.Time
	completed    bool
	errorEvent   *bytes.Reader // rest of the error event; non-nil once the answer was truncated
	closeOnce    sync.Once
}

func newStreamBody(s *Server, a *attempt, answer *httpcall.Answer) *streamBody {
	return &streamBody{server: s, attempt: a, answer: answer}
}

// Read implements io.Reader for the HTTP server, which flushes after each read.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.errorEvent != nil {
		return b.readErrorEvent(p)
	}
	if err := b.awaitBytes(); err != nil {
		_ = b.abort(err)
		return b.readErrorEvent(p)
	}
	n, err := b.answer.Read(p)
	if n > 0 {
		b.recordBegin()
		b.recordBytes(p[:n])
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && b.isComplete():
		b.completed = true
		return n, io.EOF
	case n > 0:
		_ = b.abort(err)
		return n, nil
	default:
		_ = b.abort(err)
		return b.readErrorEvent(p)
	}
}

// awaitBytes waits for the next bytes until the deadline passes or the group cannot be expected to continue.
func (b *streamBody) awaitBytes() error {
	since := clock.Now()
	if b.marker == nil { // no byte follows the last of a body with a length, so there is none to wait for
		return b.answer.SetReadTimeout(min(maxSilence, b.attempt.call.deadline.Sub(since)))
	}
	if err := b.refreshTimeout(since); err != nil {
		return err
	}
	for {
		err := b.answer.Await()
		if err == nil || !httpcall.IsTimeout(err) {
			return err
		}
		now := clock.Now()
		if b.isLost(now.Sub(since), now) {
			return err
		}
		b.timeoutSetAt = time.Time{} // to be set again for the next bytes
		if err := b.answer.SetReadTimeout(min(silentPollInterval, b.attempt.call.deadline.Sub(now))); err != nil {
			return err
		}
	}
}

// isLost reports whether nothing more is to be expected after the given silence. A VM that does not answer may only be silent for a while,
// so the end of the evidence alone does not tell; the lease holder ends groups that have lost a VM.
func (b *streamBody) isLost(silence time.Duration, now time.Time) bool {
	router, target := b.server.Router, b.attempt.target
	switch {
	case now.After(b.attempt.call.deadline), silence > maxSilence:
		return true
	case silence > maxUnseenSilence && !now.Before(router.AllPresentUntil(target)):
		return true
	default:
		return !router.Assigned(target.Group, target.Birth)
	}
}

// refreshTimeout limits the wait for the next bytes. Setting a timer for each event costs more than it is worth,
// so the timeout is set at most once per timeoutRefreshInterval.
func (b *streamBody) refreshTimeout(now time.Time) error {
	if now.Sub(b.timeoutSetAt) < timeoutRefreshInterval {
		return nil
	}
	b.timeoutSetAt = now
	return b.answer.SetReadTimeout(min(awaitTimeout, b.attempt.call.deadline.Sub(now)))
}

// recordBegin records the first part of the answer.
func (b *streamBody) recordBegin() {
	if !b.firstReadAt.IsZero() {
		return
	}
	b.firstReadAt = clock.Now()
	b.server.Quarantine.Begun(b.attempt.signature.Parts, b.firstReadAt)
}

// recordBytes counts the events in p and keeps the last bytes relayed.
func (b *streamBody) recordBytes(p []byte) {
	if b.marker == nil {
		return
	}
	b.events += int64(bytes.Count(p, eventEnd))
	if len(p) >= tailBytes {
		b.tailLen = copy(b.tail[:], p[len(p)-tailBytes:])
		return
	}
	if over := b.tailLen + len(p) - tailBytes; over > 0 {
		copy(b.tail[:], b.tail[over:b.tailLen])
		b.tailLen -= over
	}
	b.tailLen += copy(b.tail[b.tailLen:], p)
}

func (b *streamBody) isComplete() bool {
	return b.marker == nil || bytes.HasSuffix(b.tail[:b.tailLen], b.marker)
}

func (b *streamBody) abort(err error) error {
	b.server.metrics.cutStreams.Inc(1)
	b.server.Router.RecordFailure(b.attempt.target.Group, b.attempt.target.Birth)
	if b.attempt.life != nil {
		b.server.recordEnd(b.attempt, verdict.New(verdict.MayHaveRun, err), !b.firstReadAt.IsZero())
	}
	_ = level.Warn(b.server.Logger).Log("msg", "answer truncated", "request_id", b.attempt.call.id,
		"group", b.attempt.target.Group, "err", err)
	b.errorEvent = bytes.NewReader(nil)
	if b.marker != nil {
		text := `data: {"error":"the answer was cut","verdict":"` + verdict.MayHaveRun.String() + `","request_id":` + strconv.Quote(b.attempt.call.id) + "}\n\n"
		b.errorEvent = bytes.NewReader([]byte("event: error\n" + text))
	}
	return errTruncated
}

func (b *streamBody) readErrorEvent(p []byte) (int, error) {
	if b.errorEvent.Len() == 0 {
		return 0, errTruncated
	}
	return b.errorEvent.Read(p)
}

// Close implements io.Closer. The HTTP server calls it after the last byte, or when the caller has disconnected.
func (b *streamBody) Close() error {
	b.closeOnce.Do(b.release)
	return nil
}

func (b *streamBody) release() {
	s, a := b.server, b.attempt
	defer s.inflight.Add(-1)
	_ = b.answer.Close()
	if a.place != nil { // nil for a resumed stream, whose place was granted to the node that started it
		a.place.Release(b.completed)
	}
	if !b.completed && b.marker != nil {
		b.cancelAtEngine()
	}
	s.recordOutcome(a, b.completed, b.errorEvent != nil, !b.firstReadAt.IsZero())
	outcome := burn.Outcome{Failed: !b.completed, Latency: clock.Since(a.call.started)}
	if !b.firstReadAt.IsZero() {
		outcome.FirstToken = b.firstReadAt.Sub(a.call.started)
		s.metrics.firstToken.Record(outcome.FirstToken)
		if b.completed {
			s.Router.RecordSuccess(a.target.Group, a.target.Birth, b.firstReadAt.Sub(a.sentAt), clock.Since(a.sentAt))
		}
	}
	s.metrics.streamEvents.Inc(b.events)
	s.Burn.Record(a.call.workspace, a.target.Model, outcome)
}

// cancelAtEngine stops the stream at the engine. A stream whose entry VM is lost is not cancelled, so that the caller can
// resume it through another node.
func (b *streamBody) cancelAtEngine() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = b.server.Engine.Cancel(ctx, b.attempt.target.Leader, b.attempt.call.id)
}
