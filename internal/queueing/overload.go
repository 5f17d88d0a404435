package queueing

import "time"

// Overload tracks an overload of one kind of place: it begins with a refusal for lack of a place, and ends when the callers refused
// have had time to come back and none has been refused again. The zero value is ready for use.
type Overload struct {
	Began   time.Time // zero while there is none
	Refused int       // requests refused since

	until time.Time
}

// Refuse records that a caller was refused and told to come back after the given time. It reports whether the overload begins.
func (o *Overload) Refuse(after time.Duration, now time.Time) (begins bool) {
	if begins = o.Began.IsZero(); begins {
		*o = Overload{Began: now}
	}
	o.Refused++
	if until := now.Add(after + maxRefusalGap); until.After(o.until) {
		o.until = until
	}
	return begins
}

// End returns the overload if it has ended by now, and resets it.
func (o *Overload) End(now time.Time) (ended Overload, ok bool) {
	if o.Began.IsZero() || !now.After(o.until) {
		return Overload{}, false
	}
	ended = *o
	*o = Overload{}
	return ended, true
}
