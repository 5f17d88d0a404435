package eventlog

import "time"

// maxLines bounds the lines that are kept of one request: four sendings, each sent and failed, and its end need nine.
const maxLines = 16

// line is one line of the log that may still be written.
type line struct {
	failure bool
	pairs   []any
}

// Story is what was decided on one request. It is used by one goroutine at a time.
type Story struct {
	log     *Decisions
	id      string
	sampled bool
	began   time.Time
	kept    []line
	dropped int
}

// Decision notes one decision; pairs are names and values. Its age in milliseconds is told with it, because the line of
// a request that is not sampled is written when the request ends.
func (s *Story) Decision(event string, failure bool, pairs ...any) {
	head := []any{"msg", event, "request", s.id, "age_ms", time.Since(s.began).Milliseconds()}
	l := line{failure, append(head, pairs...)}
	switch {
	case s.sampled:
		s.log.write(l)
	case len(s.kept) < maxLines:
		s.kept = append(s.kept, l)
	default:
		s.dropped++
	}
}

// End ends the story. Of a request that was not sampled it is written if it is remarkable: all of it, or nothing.
func (s *Story) End(remarkable bool) {
	if s.sampled || !remarkable {
		return
	}
	if !s.log.limiter.AllowN(time.Now(), len(s.kept)) {
		s.log.leave(len(s.kept) + s.dropped)
		return
	}
	for _, l := range s.kept {
		s.log.write(l)
	}
	if s.dropped > 0 {
		s.log.leave(s.dropped)
	}
}
