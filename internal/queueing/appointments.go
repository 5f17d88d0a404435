package queueing

import "time"

const (
	// waitFraction is the part of its remaining time after which a caller comes back at the latest, whatever it is told.
	waitFraction = 1.0 / 3
	// maxRemembered bounds the appointments that are remembered. A caller whose appointment is forgotten counts as a new one.
	maxRemembered = 4096
	// minKnownReleases is how many releases the rate must contain to be used. With fewer, the next release is as likely to
	// mark the end of a shortage as to follow at the same rate.
	minKnownReleases = 1.0
)

// Appointments tells refused callers of one kind of place when to come back. Callers are spread over the time in which places become
// free at this node, each after those that were told a time before. The zero value is ready for use.
type Appointments struct {
	releases Rate
	last     time.Time // the latest appointment given
	overflow uint32    // callers for whom no place is expected in their time
	given    map[uint64]appointment
}

// appointment is the time given to a caller, which is void after the caller's deadline.
type appointment struct{ at, deadline time.Time }

// Release records that a place has become free.
func (a *Appointments) Release(now time.Time) { a.releases.Add(now) }

// PerSecond returns the rate at which places become free.
func (a *Appointments) PerSecond(now time.Time) float64 { return a.releases.PerSecond(now) }

// Known reports whether there have been enough recent releases to predict the next ones.
func (a *Appointments) Known(now time.Time) bool {
	return a.releases.PerSecond(now)*rateWindow.Seconds() >= minKnownReleases
}

// ExpectedWait returns how long a request waits behind the given number of others, and false if no place has ever become free.
func (a *Appointments) ExpectedWait(ahead int, now time.Time) (time.Duration, bool) {
	return ExpectedWait(ahead, a.releases.PerSecond(now))
}

// Give returns the time after which a refused caller with the given deadline should come back, behind the given number of waiting
// requests. It returns false if the rate of releases is not known or no time is left. id identifies the caller when it comes back; 0 if
// nothing does.
func (a *Appointments) Give(id uint64, ahead int, deadline, now time.Time) (time.Duration, bool) {
	longest := time.Duration(waitFraction * float64(deadline.Sub(now)))
	if !a.Known(now) || longest <= 0 {
		return 0, false
	}
	first, _ := a.ExpectedWait(ahead+1, now)
	after := first
	if gap, _ := a.ExpectedWait(1, now); a.last.Add(gap).After(now.Add(first)) {
		after = a.last.Add(gap).Sub(now)
	}
	if after <= longest {
		a.last = now.Add(after)
	} else {
		after = a.spread(min(first, longest), longest)
	}
	if id != 0 {
		a.remember(id, appointment{now.Add(after), deadline}, now)
	}
	return after, true
}

// goldenRatio is the fractional part of the golden ratio as a fraction of 1<<32. Successive multiples of it are spread evenly.
const goldenRatio = 2654435769

// spread returns a time between earliest and latest for a caller that comes back before a place is expected for it. Such callers
// fill the places that others leave unused; they come one after another rather than all at the latest time.
func (a *Appointments) spread(earliest, latest time.Duration) time.Duration {
	a.overflow += goldenRatio
	return earliest + time.Duration(float64(a.overflow)/(1<<32)*float64(latest-earliest))
}

func (a *Appointments) remember(id uint64, given appointment, now time.Time) {
	if a.given == nil {
		a.given = make(map[uint64]appointment)
	}
	if len(a.given) >= maxRemembered {
		a.Sweep(now)
	}
	if len(a.given) < maxRemembered {
		a.given[id] = given
	}
}

// Keep reports whether the caller comes back at the time it was given or later, which uses up the appointment. A caller that comes back
// early counts as a new one, and its appointment remains.
func (a *Appointments) Keep(id uint64, now time.Time) bool {
	given, ok := a.given[id]
	if !ok || now.Before(given.at) {
		return false
	}
	delete(a.given, id)
	return !now.After(given.deadline)
}

// Sweep removes the appointments of callers whose deadline has passed and returns their number.
func (a *Appointments) Sweep(now time.Time) int {
	missed := 0
	for id, given := range a.given {
		if now.After(given.deadline) {
			delete(a.given, id)
			missed++
		}
	}
	return missed
}
