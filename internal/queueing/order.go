// Package queueing decides in which order requests wait for places, how long they may wait, and when a refused caller should come
// back. It does no I/O and takes the time as an argument.
package queueing

import (
	"cmp"
	"time"
)

const (
	// placesPerLate is the number of places of which one goes to a request that can no longer be in time, while requests of both
	// sorts wait. With it every rank is served at least a quarter as often as the average, however long the overload lasts.
	placesPerLate = 4
	// shareRequests is the number of requests over which a rank's share of served requests is counted. At 64, one request
	// changes the share by less than two percent.
	shareRequests = 64
)

// Entry holds what the order depends on for one waiting request.
type Entry struct {
	Rank      int // 0 is the most urgent
	Workspace string
	Weight    float64 // of the workspace; 0 means 1
	// InTimeUntil is the last time at which a place still lets the request meet its objective; zero if it has no objective, in
	// which case it is never late.
	InTimeUntil time.Time
	Appointed   bool // the caller came back at the time it was given
	Arrived     time.Time
}

// late reports whether the request can no longer meet its objective.
func (e *Entry) late(now time.Time) bool {
	return !e.InTimeUntil.IsZero() && now.After(e.InTimeUntil)
}

// Order chooses the next of the requests that wait for the same kind of place. The zero value is ready for use.
type Order struct {
	sinceLate int // places given to requests that can be in time, while late ones waited, since a late one got a place
	shares    map[int]*share
}

// share counts the requests of a rank and those of them that got a place.
type share struct{ requests, served float64 }

// Arrive counts a request of the rank.
func (o *Order) Arrive(rank int) {
	s := o.share(rank)
	if s.requests++; s.requests > shareRequests {
		s.requests /= 2
		s.served /= 2
	}
}

// Serve counts a place given to a request of the rank, whether it waited or not.
func (o *Order) Serve(rank int) { o.share(rank).served++ }

func (o *Order) share(rank int) *share {
	if o.shares == nil {
		o.shares = make(map[int]*share)
	}
	s, ok := o.shares[rank]
	if !ok {
		s = &share{}
		o.shares[rank] = s
	}
	return s
}

// Next returns the index of the request that should get the next place, -1 if none waits. running returns the running requests of
// a workspace.
//
// Requests that can be in time come before those that cannot, in the order of rank, running requests of the workspace relative to
// its weight, kept appointments and arrival. One place in placesPerLate goes to a late request. Among late requests the rank of
// which the smallest share has been served comes first: by urgency, late requests of the most urgent rank would take all these
// places, and the other ranks would starve.
func (o *Order) Next(waiting []*Entry, running func(workspace string) int, now time.Time) int {
	first, firstLate := -1, -1
	for i, e := range waiting {
		switch {
		case e.late(now):
			if firstLate < 0 || o.compareLate(e, waiting[firstLate], running) < 0 {
				firstLate = i
			}
		case first < 0 || compareInTime(e, waiting[first], running) < 0:
			first = i
		}
	}
	if first < 0 || firstLate >= 0 && o.sinceLate >= placesPerLate-1 {
		return firstLate
	}
	return first
}

// Take records that the request at index i of waiting, which Next returned, got the place.
func (o *Order) Take(waiting []*Entry, i int, now time.Time) {
	if waiting[i].late(now) {
		o.sinceLate = 0
		return
	}
	for _, e := range waiting {
		if e.late(now) {
			o.sinceLate++
			return
		}
	}
}

func compareInTime(a, b *Entry, running func(string) int) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareWithinRank(a, b, running))
}

func (o *Order) compareLate(a, b *Entry, running func(string) int) int {
	if a.Rank != b.Rank {
		return cmp.Or(cmp.Compare(o.servedShare(a.Rank), o.servedShare(b.Rank)), cmp.Compare(a.Rank, b.Rank))
	}
	return compareWithinRank(a, b, running)
}

// servedShare returns the share of the rank's recent requests that got a place.
func (o *Order) servedShare(rank int) float64 {
	s := o.shares[rank]
	if s == nil || s.requests <= 0 {
		return 0
	}
	return s.served / s.requests
}

func compareWithinRank(a, b *Entry, running func(string) int) int {
	if a.Workspace != b.Workspace {
		if c := cmp.Compare(relativeLoad(a, running), relativeLoad(b, running)); c != 0 {
			return c
		}
	}
	if a.Appointed != b.Appointed {
		if a.Appointed {
			return -1
		}
		return 1
	}
	return a.Arrived.Compare(b.Arrived)
}

// relativeLoad returns the running requests of the entry's workspace for each unit of its weight.
func relativeLoad(e *Entry, running func(string) int) float64 {
	if e.Weight <= 0 {
		return float64(running(e.Workspace))
	}
	return float64(running(e.Workspace)) / e.Weight
}
