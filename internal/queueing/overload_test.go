package queueing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a log line for each refusal, and against an overload that ends while its callers are still away.
func TestOverloadEndsWhenNoReturningCallerIsRefused(t *testing.T) {
	var o Overload
	_, ended := o.End(start)
	qt.Check(t, ended, qt.IsFalse, qt.Commentf("there is none"))
	qt.Check(t, o.Refuse(time.Second, start), qt.IsTrue)
	qt.Check(t, o.Refuse(100*time.Millisecond, start.Add(100*time.Millisecond)), qt.IsFalse)
	_, ended = o.End(start.Add(time.Second + maxRefusalGap))
	qt.Check(t, ended, qt.IsFalse, qt.Commentf("the first caller has just come back"))
	overload, ended := o.End(start.Add(time.Second + maxRefusalGap + 1))
	qt.Check(t, ended, qt.IsTrue)
	qt.Check(t, overload.Refused, qt.Equals, 2)
	qt.Check(t, overload.Began, qt.Equals, start)
	qt.Check(t, o.Refuse(time.Second, start.Add(time.Minute)), qt.IsTrue, qt.Commentf("another overload"))
}
