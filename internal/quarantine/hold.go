package quarantine

import (
	"slices"
	"time"
)

const (
	// trialInterval is the time after an ending in which a node sends no request to find out which of several suspects has
	// caused it. An answer begins, or the next ending is known, within that time. It doubles with each such request.
	trialInterval    = 500 * time.Millisecond
	maxTrialInterval = 256 * trialInterval
	// alertTime is how long after an ending attempts are checked for having to be stopped. It exceeds the time for which a
	// request waits at an endpoint before it is answered.
	alertTime = 10 * time.Second
)

// Hold describes why a request must not be sent.
type Hold struct {
	Fingerprint Fingerprint
	PartID      string        // the part of the prompt that is held back; empty if it is the whole request
	Endings     []Ending      // the endings that it is held back for
	Remaining   time.Duration // until the request may be sent, unless more endings or attempts follow
}

// Check returns the hold on a request, if there is one. Attempts that are held back renew the hold.
//
// A request is nevertheless sent from time to time to find out what ends the endpoints: if the endings may as well have been caused
// by something that the request does not contain, first after trialInterval, and one after each hold on a part, from the node that
// MayTry names. Its answer, or one more ending, then decides. Check returns the fingerprints that it passes over
// for that reason; a later Check of the same attempt gets them as trial.
func (t *Table) Check(s *Signature, trial []Fingerprint, now time.Time) (*Hold, []Fingerprint) {
	hold, tried, due := t.check(s, trial, false, now)
	if due && t.MayTry != nil && t.MayTry(hold.Fingerprint) {
		hold, tried, _ = t.check(s, trial, true, now)
	}
	return hold, tried
}

// check is Check without MayTry: it passes over holds that are due for a trial if mayTry is set, and otherwise reports whether the
// hold that it returns is one.
func (t *Table) check(s *Signature, trial []Fingerprint, mayTry bool, now time.Time) (hold *Hold, tried []Fingerprint, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range s.all() {
		e := t.entries[f]
		if e == nil || !t.held(e, now) {
			continue
		}
		remaining, due := t.remaining(f, e, s, now)
		if mayPass := remaining <= 0 || slices.Contains(trial, f) || mayTry && due; !mayPass {
			return &Hold{Fingerprint: f, PartID: s.partID(f), Endings: slices.Clone(e.endings), Remaining: remaining}, nil, due
		}
		tried = append(tried, f)
	}
	for _, f := range tried {
		if !slices.Contains(trial, f) {
			t.entries[f].triedAt = now
			t.entries[f].trials++
		}
	}
	return nil, tried, false
}

// remaining returns how long a request with the signature has to wait for the entry's hold, and whether the hold has lasted long
// enough for a trial.
func (t *Table) remaining(f Fingerprint, e *entry, s *Signature, now time.Time) (remaining time.Duration, due bool) {
	last := e.endings[len(e.endings)-1].At
	if e.triedAt.After(last) {
		last = e.triedAt
	}
	if t.explainedOutside(e, s) {
		return min(trialInterval<<min(e.trials, maxEndings), maxTrialInterval) - now.Sub(last), false
	}
	due = e.part && now.Sub(last) >= holdDuration(countIncidents(e.endings))
	return t.renew(f, e, now), due
}

// MustStop reports whether an attempt with the signature that has not begun to be answered must be given up, because what it
// holds is held back by now. trial is what Check has returned for it.
func (t *Table) MustStop(s *Signature, trial []Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range s.all() {
		e := t.entries[f]
		if e != nil && t.held(e, now) && !slices.Contains(trial, f) && !t.explainedOutside(e, s) {
			return true
		}
	}
	return false
}

// Alert reports whether an ending was recorded so recently that attempts may have to be stopped.
func (t *Table) Alert(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.endedAt) < alertTime
}

// renew extends the hold on an entry that a request was held back for, and returns how long it lasts. The caller holds t.mu.
func (t *Table) renew(f Fingerprint, e *entry, now time.Time) time.Duration {
	remaining := e.heldUntil.Sub(now)
	if hold := holdDuration(countIncidents(e.endings)); remaining < time.Duration(renewThreshold*float64(hold)) {
		e.heldUntil = now.Add(hold)
		t.commit(f, e, Source{}, now)
		remaining = hold
	}
	return remaining
}
