package server

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/settings"
)

// Guards against a stop that leaves no time for its steps, or takes longer than its grace period, however long that is.
func TestScheduleOfAStopFitsItsGracePeriod(t *testing.T) {
	began := time.Now()
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 8 * time.Second, time.Minute, time.Hour} {
		s := newStopSchedule(began, grace)
		comment := qt.Commentf("%v: %+v", grace, s)
		qt.Check(t, s.accept.Before(began), qt.IsFalse, comment)
		qt.Check(t, s.finish.Before(s.accept), qt.IsFalse, comment)
		qt.Check(t, s.answer.Sub(s.finish) >= minAnswerTime, qt.IsTrue, comment)
		longest := grace
		if grace < minAnswerTime {
			longest = answerTimeWithoutGrace
		}
		qt.Check(t, s.answer.Sub(began) <= longest, qt.IsTrue, comment)
	}
}

// Guards against answers that a busy machine does not write before the process ends, after a stop without a grace period.
func TestStopWithoutAGracePeriodLeavesTimeForAnswers(t *testing.T) {
	began := time.Now()
	s := newStopSchedule(began, 0)
	qt.Check(t, s.finish, qt.Equals, began)
	qt.Check(t, s.answer.Sub(began) >= time.Second, qt.IsTrue, qt.Commentf("%v", s.answer.Sub(began)))
}

// Guards against callers that still hold a node's address when it no longer accepts connections.
func TestAddressesAreHeldNoLongerThanAStopAcceptsConnections(t *testing.T) {
	for _, test := range []struct {
		graceMS    settings.Milliseconds
		lifetimeMS int
		want       time.Duration
	}{
		{8000, 1000, time.Second}, {8000, 10000, 3600 * time.Millisecond}, {2500, 5000, 1125 * time.Millisecond}, {0, 1000, time.Second},
	} {
		n := &Server{settings: &settings.Gateway{GraceMS: test.graceMS, AddressLifetimeMS: test.lifetimeMS}}
		qt.Check(t, n.addressLifetime(), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against a stop that fails because the server of callers closes the listener once more.
func TestListenerThatAStopHasClosedIsNoError(t *testing.T) {
	n := &Server{settings: &settings.Gateway{}}
	closed := &net.OpError{Op: "close", Net: "tcp", Err: net.ErrClosed}
	qt.Check(t, n.ignorePlannedClose(closed), qt.Equals, error(closed), qt.Commentf("nothing closed it on purpose"))
	n.stop.Store(newStopSchedule(time.Now(), 0))
	qt.Check(t, n.ignorePlannedClose(closed), qt.IsNil)
	qt.Check(t, n.ignorePlannedClose(io.ErrUnexpectedEOF), qt.Equals, io.ErrUnexpectedEOF)
}
