package eventlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/eventlog"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan bool
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{unblock: make(chan bool)}
	w := eventlog.NewWriter(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 5000 { // about five times maxQueued
		n, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	qt.Check(t, w.Dropped() > 0, qt.IsTrue)
	close(out.unblock)
	qt.Assert(t, w.Close(), qt.IsNil)
	lines := int64(strings.Count(out.written.String(), "\n"))
	qt.Check(t, lines+w.Dropped(), qt.Equals, int64(5000), qt.Commentf("every line is written or counted"))
}

func TestSampleIsLoggedInFullAndIsTheSameOnAllNodes(t *testing.T) {
	logged := func() map[string]int {
		var out bytes.Buffer
		d := eventlog.NewDecisions(log.NewLogfmtLogger(&out), eventlog.Limits{SampleOneIn: 10})
		count := map[string]int{}
		for i := range 500 {
			for range 3 {
				before := out.Len()
				d.Request(fmt.Sprint(i)).Decision("sent", false)
				if out.Len() > before {
					count[fmt.Sprint(i)]++
				}
			}
		}
		return count
	}
	first := logged()
	qt.Check(t, len(first) > 20 && len(first) < 100, qt.IsTrue, qt.Commentf("%d", len(first)))
	for id, n := range first {
		qt.Check(t, n, qt.Equals, 3, qt.Commentf(id))
	}
	qt.Check(t, logged(), qt.DeepEquals, first)
}

func TestFailuresAreRateLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	d := eventlog.NewDecisions(log.NewLogfmtLogger(&out), eventlog.Limits{SampleOneIn: 1 << 30, Failures: 5})
	for i := range 1000 {
		s := d.Request(fmt.Sprint(i))
		s.Decision("refused", true)
		s.End(true)
	}
	qt.Check(t, strings.Count(out.String(), "msg=refused") < 50, qt.IsTrue)
	qt.Check(t, strings.Count(out.String(), "msg=refused") > 0, qt.IsTrue)
	qt.Check(t, strings.Contains(out.String(), "request lines not logged"), qt.IsTrue)
}

func TestNotableRequestIsLoggedInFull(t *testing.T) {
	var out bytes.Buffer
	d := eventlog.NewDecisions(log.NewLogfmtLogger(&out), eventlog.Limits{SampleOneIn: 1 << 30, Failures: 5})
	for _, notable := range []bool{false, true} {
		s := d.Request(fmt.Sprint("r-", notable))
		s.Decision("sent", false, "send", 1)
		s.Decision("failed", false)
		s.Decision("sent", false, "send", 2)
		s.Decision("answered", false)
		s.End(notable)
	}
	qt.Check(t, strings.Count(out.String(), "request=r-true"), qt.Equals, 4)
	qt.Check(t, strings.Contains(out.String(), "request=r-false"), qt.IsFalse)
	qt.Check(t, strings.Index(out.String(), "send=1") < strings.Index(out.String(), "send=2"), qt.IsTrue)
}

func TestBufferedLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	d := eventlog.NewDecisions(log.NewLogfmtLogger(&out), eventlog.Limits{SampleOneIn: 1 << 30, Failures: 1000})
	s := d.Request("r")
	for range 10_000 {
		s.Decision("sent", false)
	}
	s.End(true)
	qt.Check(t, strings.Count(out.String(), "msg=sent") <= 16, qt.IsTrue)
}
