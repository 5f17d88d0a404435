package eventlog

import "time"

// maxBufferedLines bounds the lines buffered for one request. Four attempts with three lines each (sent, failed, resend), two silences and
// the end of the request need fifteen.
const maxBufferedLines = 16

// line is one log line.
type line struct {
	failure bool
	keyvals []any
}

// RequestLog logs the decisions on one request. It is used by one goroutine at a time.
type RequestLog struct {
	log      *Decisions
	id       string
	sampled  bool
	start    time.Time
	buffered []line
	dropped  int
}

// Decision logs one decision; keyvals are alternating names and values. The line includes the age of the request in
// milliseconds, because the lines of a request that is not sampled are written only when the request ends.
func (s *RequestLog) Decision(event string, failure bool, keyvals ...any) {
	head := []any{"msg", event, "request", s.id, "age_ms", time.Since(s.start).Milliseconds()}
	l := line{failure, append(head, keyvals...)}
	switch {
	case s.sampled:
		s.log.write(l)
	case len(s.buffered) < maxBufferedLines:
		s.buffered = append(s.buffered, l)
	default:
		s.dropped++
	}
}

// End marks the end of the request. If the request was not sampled and is notable, its buffered lines are written, either all
// or, when over the rate, none.
func (s *RequestLog) End(notable bool) {
	if s.sampled || !notable {
		return
	}
	if !s.log.limiter.AllowN(time.Now(), len(s.buffered)) {
		s.log.countUnlogged(len(s.buffered) + s.dropped)
		return
	}
	for _, l := range s.buffered {
		s.log.write(l)
	}
	if s.dropped > 0 {
		s.log.countUnlogged(s.dropped)
	}
}
