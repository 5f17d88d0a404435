package queueing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// releasing returns Appointments that have observed places becoming free at the given rate for ten seconds, and the time.
func releasing(perSecond float64) (*Appointments, time.Time) {
	var a Appointments
	now := start
	for range int(10 * perSecond) {
		now = now.Add(time.Duration(float64(time.Second) / perSecond))
		a.Release(now)
	}
	return &a, now
}

// Guards against callers refused at the same time that all come back at the same time.
func TestAppointmentsAreSpreadOverTheReleases(t *testing.T) {
	a, now := releasing(20)
	for i := range 10 {
		after, known := a.Give(uint64(i)+1, 0, now.Add(5*time.Second), now)
		want := time.Duration(i+1) * 50 * time.Millisecond
		qt.Check(t, known && after > want*9/10 && after < want*11/10, qt.IsTrue, qt.Commentf("caller %d comes back after %s", i, after))
	}
	after, _ := a.Give(20, 30, now.Add(5*time.Second), now)
	qt.Check(t, after > 1400*time.Millisecond, qt.IsTrue, qt.Commentf("30 waiting requests come first: %s", after))
}

// Guards against appointments that a caller cannot keep, or that come before any place can be free.
func TestAppointmentsLieWithinTheCallersTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := releasing(rapid.Float64Range(2, 100).Draw(t, "releases"))
		for i := range rapid.IntRange(1, 100).Draw(t, "callers") {
			remaining := time.Duration(rapid.IntRange(1, 8000).Draw(t, "remaining")) * time.Millisecond
			ahead := rapid.IntRange(0, 10).Draw(t, "ahead")
			first, _ := a.ExpectedWait(ahead+1, now)
			after, known := a.Give(uint64(i)+1, ahead, now.Add(remaining), now)
			longest := time.Duration(float64(remaining) * waitFraction)
			if !known || after > longest || after < min(first, longest) {
				t.Fatalf("with %s left and a first place after %s: %s, %t", remaining, first, after, known)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// Guards against places promised from releases of a load that has ended.
func TestNoAppointmentWithoutRecentReleases(t *testing.T) {
	var unused Appointments
	_, known := unused.Give(1, 0, start.Add(time.Second), start)
	qt.Check(t, known, qt.IsFalse)
	a, now := releasing(20)
	_, known = a.Give(1, 0, now.Add(30*time.Second), now.Add(20*time.Second))
	qt.Check(t, known, qt.IsFalse)
}

// Guards against callers that gain by ignoring the time they were given.
func TestOnlyCallersAtTheirTimeKeepAnAppointment(t *testing.T) {
	a, now := releasing(20)
	after, _ := a.Give(7, 0, now.Add(5*time.Second), now)
	qt.Check(t, a.Keep(7, now.Add(after/2)), qt.IsFalse, qt.Commentf("early"))
	qt.Check(t, a.Keep(8, now.Add(after)), qt.IsFalse, qt.Commentf("not refused before"))
	qt.Check(t, a.Keep(7, now.Add(after)), qt.IsTrue)
	qt.Check(t, a.Keep(7, now.Add(after)), qt.IsFalse, qt.Commentf("used up"))
	a.Give(9, 0, now.Add(time.Second), now)
	qt.Check(t, a.Sweep(now.Add(2*time.Second)), qt.Equals, 1)
	qt.Check(t, len(a.given), qt.Equals, 0)
}

// retryRule determines when a refused caller comes back.
type retryRule interface {
	release(now time.Time)
	comeBack(id uint64, ahead int, deadline, now time.Time) time.Duration
	keep(id uint64, now time.Time) bool
}

type byAppointment struct {
	Appointments
	shortages Shortages
}

func (b *byAppointment) release(now time.Time) { b.Release(now) }
func (b *byAppointment) comeBack(id uint64, ahead int, deadline, now time.Time) time.Duration {
	if after, known := b.Give(id, ahead, deadline, now); known {
		return after
	}
	return b.shortages.RecordRefusal("m", now)
}
func (b *byAppointment) keep(id uint64, now time.Time) bool { return b.Keep(id, now) }

// byShortage is the rule before this package: as long as the shortage has lasted.
type byShortage struct{ shortages Shortages }

func (b *byShortage) release(time.Time) {}
func (b *byShortage) comeBack(_ uint64, _ int, deadline, now time.Time) time.Duration {
	return min(b.shortages.RecordRefusal("m", now), time.Duration(waitFraction*float64(deadline.Sub(now))))
}
func (b *byShortage) keep(uint64, time.Time) bool { return false }

// withoutPrecedence gives appointments, but callers that keep them count as new.
type withoutPrecedence struct{ byAppointment }

func (*withoutPrecedence) keep(uint64, time.Time) bool { return false }

// latest tells every caller the latest time at which it would come back.
type latest struct{ byShortage }

func (l *latest) comeBack(_ uint64, _ int, deadline, now time.Time) time.Duration {
	return time.Duration(waitFraction * float64(deadline.Sub(now)))
}

// retries counts the requests of simulateRetries.
type retries struct {
	requests, refused, secondServed, refusedTwice int
	untilRefused                                  time.Duration // total wait before the first refusal
}

// simulateRetries serves callers at places that become free releases times a second. For 4 s 1.4 times as many requests arrive, before and
// after that 0.8 times. A request waits for up to wait, with predict set only if it is predicted to be first in that time, and its caller
// retries once.
func simulateRetries(rule retryRule, wait time.Duration, predict bool, releases float64, seed uint64) retries {
	const hold, timeout = time.Second, 5 * time.Second
	var observed Appointments
	random := rand.New(rand.NewPCG(seed, 0))
	type caller struct {
		id                uint64
		entry             Entry
		comesAt, deadline time.Time
		second            bool
	}
	var out retries
	var order Order
	var queue, away []*caller
	var ends []time.Time
	idle := func(string) int { return 0 }
	for now := start; now.Before(start.Add(16 * time.Second)); now = now.Add(time.Millisecond) {
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
			rule.release(now)
			observed.Release(now)
		}
		load := 0.8
		if since := now.Sub(start); since >= 6*time.Second && since < 10*time.Second {
			load = 1.4
		}
		if random.Float64() < load*releases/1000 {
			out.requests++
			c := &caller{id: uint64(out.requests), comesAt: now, deadline: now.Add(timeout)}
			c.entry.Arrived, c.entry.InTimeUntil = now, now.Add(wait)
			queue = append(queue, c)
		}
		away = slices.DeleteFunc(away, func(c *caller) bool {
			if c.comesAt.After(now) {
				return false
			}
			c.entry = Entry{Arrived: now, InTimeUntil: now.Add(wait), Appointed: rule.keep(c.id, now)}
			queue = append(queue, c)
			return true
		})
		for len(queue) > 0 && len(ends) < int(releases*hold.Seconds()) {
			entries := make([]*Entry, len(queue))
			for i, c := range queue {
				entries[i] = &c.entry
			}
			i := order.Next(entries, idle, now)
			order.Take(entries, i, now)
			if queue[i].second {
				out.secondServed++
			}
			queue = slices.Delete(queue, i, i+1)
			ends = append(ends, now.Add(time.Duration((0.5+random.Float64())*float64(hold))))
			slices.SortFunc(ends, time.Time.Compare)
		}
		waiting := slices.Clone(queue)
		queue = slices.DeleteFunc(queue, func(c *caller) bool {
			hopeless := false
			if predict && c.entry.Arrived.Equal(now) {
				entries := make([]*Entry, len(waiting))
				for i, other := range waiting {
					entries[i] = &other.entry
				}
				turn, known := observed.ExpectedWait(order.Ahead(entries, &c.entry, idle, now), now)
				hopeless = known && turn > wait
			}
			if !hopeless && !now.After(c.entry.InTimeUntil) {
				return false
			}
			if c.second {
				out.refusedTwice++
				return true
			}
			out.refused++
			out.untilRefused += now.Sub(c.entry.Arrived)
			c.second, c.comesAt = true, now.Add(rule.comeBack(c.id, len(waiting), c.deadline, now))
			away = append(away, c)
			return true
		})
	}
	return out
}

// Compares appointments with the rule before this package and with the latest time for all, on 4 s in which 1.4 times as many requests arrive
// as places become free.
func TestMoreSecondTriesSucceedByAppointments(t *testing.T) {
	for _, releases := range []float64{10, 100} {
		var appointed, plain, shortage, last retries
		for seed := range uint64(10) {
			for rule, sum := range map[retryRule]*retries{&byAppointment{}: &appointed, &withoutPrecedence{}: &plain, &byShortage{}: &shortage, &latest{}: &last} {
				r := simulateRetries(rule, 40*time.Millisecond, false, releases, seed)
				sum.requests, sum.refused = sum.requests+r.requests, sum.refused+r.refused
				sum.secondServed, sum.refusedTwice = sum.secondServed+r.secondServed, sum.refusedTwice+r.refusedTwice
			}
		}
		share := func(r retries) float64 { return float64(r.secondServed) / float64(r.refused) }
		t.Logf("%.0f releases/s: second tries that succeed, and requests refused twice of all:", releases)
		for name, r := range map[string]retries{"appointments": appointed, "appointments without precedence": plain, "length of the shortage": shortage, "latest time": last} {
			t.Logf("  %s: %.3f, %d of %d; %d refused once", name, share(r), r.refusedTwice, r.requests, r.refused)
		}
		qt.Check(t, share(appointed) > share(shortage), qt.IsTrue)
		qt.Check(t, appointed.refusedTwice < shortage.refusedTwice, qt.IsTrue)
	}
}

// Compares waiting only for a turn that is predicted in time with the fixed wait before this package and with a wait as long as the request
// can be in time.
func TestRequestsAreRefusedEarlyByPrediction(t *testing.T) {
	const inTime = 130 * time.Millisecond // an objective of 200 ms, less 70 ms at the group
	for _, releases := range []float64{10, 100} {
		sum := func(wait time.Duration, predict bool) (out retries) {
			for seed := range uint64(10) {
				r := simulateRetries(&byAppointment{}, wait, predict, releases, seed)
				out.requests, out.refused, out.refusedTwice = out.requests+r.requests, out.refused+r.refused, out.refusedTwice+r.refusedTwice
				out.secondServed, out.untilRefused = out.secondServed+r.secondServed, out.untilRefused+r.untilRefused
			}
			return out
		}
		fixed, always, predicted := sum(40*time.Millisecond, false), sum(inTime, false), sum(inTime, true)
		t.Logf("%.0f releases/s:", releases)
		mean := func(r retries) time.Duration { return r.untilRefused / time.Duration(r.refused) }
		for name, r := range map[string]retries{"fixed wait": fixed, "as long as in time": always, "if predicted in time": predicted} {
			t.Logf("  %s: refused once %d, twice %d of %d; second tries that succeed %.3f; first refusal after %s",
				name, r.refused, r.refusedTwice, r.requests, float64(r.secondServed)/float64(r.refused), mean(r))
		}
		qt.Check(t, predicted.refusedTwice < fixed.refusedTwice, qt.IsTrue)
		qt.Check(t, mean(predicted) < mean(always)*2/3, qt.IsTrue)
		qt.Check(t, predicted.refusedTwice < always.refusedTwice*11/10, qt.IsTrue)
	}
}
