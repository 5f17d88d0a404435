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
	endMarker = []byte("data: [DONE]\n\n")
	eventEnd  = []byte("\n\n")
	errCut    = errors.New("the engine's answer was cut")
)

const (
	// silenceLimit is how long an engine may be silent within an answer.
	silenceLimit = 20 * time.Second
	tailBytes    = 16
	armEvery     = time.Second
	armedFor     = 2 * time.Second
	cancelWait   = 500 * time.Millisecond
)

// streamBody passes an engine's answer on as it comes. An answer that was cut never ends as if it were
// whole: the caller gets an error event and an unfinished body.
type streamBody struct {
	server  *Server
	attempt *attempt
	answer  *httpcall.Answer
	marker  []byte // the stream is whole only after it; nil for an answer with a length

	armed   time.Time       // when the read timeout was last set
	tail    [tailBytes]byte // last bytes passed on
	tailLen int
	events  int64
	first   time.Time
	whole   bool
	notice  *bytes.Reader // the error event, once the answer was cut
	once    sync.Once
}

func newStreamBody(s *Server, a *attempt, answer *httpcall.Answer) *streamBody {
	return &streamBody{server: s, attempt: a, answer: answer}
}

// Read implements io.Reader for the HTTP server, which flushes after each read.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.notice != nil {
		return b.readNotice(p)
	}
	if err := b.await(); err != nil {
		_ = b.cut(err)
		return b.readNotice(p)
	}
	n, err := b.answer.Read(p)
	if n > 0 {
		b.note(p[:n])
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && b.ended():
		b.whole = true
		return n, io.EOF
	case n > 0:
		_ = b.cut(err)
		return n, nil
	default:
		_ = b.cut(err)
		return b.readNotice(p)
	}
}

// await waits for the next bytes as long as the deadline and the engine's silence allow and the replica
// group is whole: a group that has lost a member will not go on.
func (b *streamBody) await() error {
	since := clock.Now()
	if b.marker == nil { // a body with a length has no byte behind its last to wait for
		return b.answer.SetReadTimeout(min(silenceLimit, b.attempt.call.deadline.Sub(since)))
	}
	for {
		now := clock.Now()
		if err := b.arm(now); err != nil {
			return err
		}
		err := b.answer.Await()
		if err == nil || !httpcall.IsTimeout(err) {
			return err
		}
		now = clock.Now()
		whole := now.Before(b.server.Router.WholeUntil(b.attempt.target))
		if !whole || now.Sub(since) > silenceLimit || now.After(b.attempt.call.deadline) {
			return err
		}
	}
}

// arm bounds the wait for the next bytes. Setting a timer for each event would cost more than it says, so
// it is set again only once in a while.
func (b *streamBody) arm(now time.Time) error {
	if now.Sub(b.armed) < armEvery {
		return nil
	}
	b.armed = now
	return b.answer.SetReadTimeout(min(armedFor, b.attempt.call.deadline.Sub(now)))
}

// note keeps count of the events and the last bytes.
func (b *streamBody) note(p []byte) {
	if b.first.IsZero() {
		b.first = clock.Now()
	}
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

func (b *streamBody) ended() bool {
	return b.marker == nil || bytes.HasSuffix(b.tail[:b.tailLen], b.marker)
}

func (b *streamBody) cut(err error) error {
	b.server.meters.cutStreams.Inc(1)
	b.server.Router.Failed(b.attempt.target.Group, b.attempt.target.Birth)
	_ = level.Warn(b.server.Logger).Log("msg", "answer cut", "request_id", b.attempt.call.id,
		"group", b.attempt.target.Group, "err", err)
	b.notice = bytes.NewReader(nil)
	if b.marker != nil {
		text := `data: {"error":"the answer was cut","verdict":"` + verdict.MayHaveRun.String() + `","request_id":` + strconv.Quote(b.attempt.call.id) + "}\n\n"
		b.notice = bytes.NewReader([]byte("event: error\n" + text))
	}
	return errCut
}

func (b *streamBody) readNotice(p []byte) (int, error) {
	if b.notice.Len() == 0 {
		return 0, errCut
	}
	return b.notice.Read(p)
}

// Close is called by the HTTP server after the last byte, or when the caller has left.
func (b *streamBody) Close() error {
	b.once.Do(b.finish)
	return nil
}

func (b *streamBody) finish() {
	s, a := b.server, b.attempt
	defer s.inflight.Add(-1)
	_ = b.answer.Close()
	if a.place != nil { // a resumed stream goes on in the place it had
		a.place.Release(b.whole)
	}
	if !b.whole && b.marker != nil {
		b.cancel()
	}
	outcome := burn.Outcome{Failed: !b.whole, Latency: clock.Since(a.call.started)}
	if !b.first.IsZero() {
		outcome.FirstToken = b.first.Sub(a.call.started)
		s.meters.firstToken.Record(outcome.FirstToken)
		if b.whole {
			s.Router.Succeeded(a.target.Group, a.target.Birth, b.first.Sub(a.sentAt), clock.Since(a.sentAt))
		}
	}
	s.meters.tokens.Inc(b.events)
	s.Burn.Record(a.call.workspace, a.target.Model, outcome)
}

// cancel stops the stream at the engine, unless its caller may yet resume it elsewhere.
func (b *streamBody) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelWait)
	defer stop()
	_ = b.server.Engine.Cancel(ctx, b.attempt.target.Leader, b.attempt.call.id)
}
