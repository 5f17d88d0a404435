// Package queueing decides in which order requests wait for places, how long they may wait, and when a refused caller should come
// back. It does no I/O and takes the time as an argument.
package queueing

import (
	"cmp"
	"time"
)

const (
	// placesPerLate is the number of places of which one goes to a request that can no longer be in time, while requests of both
	// sorts wait. With it every class is served at least a quarter as often as the average, however long the overload lasts.
	placesPerLate = 4
	// shareRequests is the number of requests over which a class's share of served requests is counted. At 64, one request
	// changes the share by less than two percent.
	shareRequests = 64
)

// Class is a class of requests that must not starve beside the others.
type Class struct {
	Rank int // 0 is the most urgent
	Size int // size of the prompt, on a logarithmic scale
}

// Entry holds what the order depends on for one waiting request.
type Entry struct {
	Class
	Workspace string
	Weight    float64 // of the workspace; 0 means 1
	// InTimeUntil is the last time at which a place still lets the request meet its objective; zero if it has no objective, in
	// which case it is never late.
	InTimeUntil time.Time
	Appointed   bool // the caller came back at the time it was given
	Arrived     time.Time
}

// Late reports whether the request can no longer meet its objective.
func (e *Entry) Late(now time.Time) bool {
	return !e.InTimeUntil.IsZero() && now.After(e.InTimeUntil)
}

// Order chooses the next of the requests that wait for the same kind of place. The zero value is ready for use.
type Order struct {
	sinceLate int // places given to requests that can be in time, while late ones waited, since a late one got a place
	shares    map[Class]*share
	all       share // of all classes
}

// share counts the requests of a class and those of them that got a place.
type share struct{ requests, served float64 }

func (s *share) arrive() {
	if s.requests++; s.requests > shareRequests {
		s.requests /= 2
		s.served /= 2
	}
}

// value returns the share of the recent requests that got a place.
func (s *share) value() float64 {
	if s == nil || s.requests <= 0 {
		return 0
	}
	return s.served / s.requests
}

// Arrive counts a request of the class.
func (o *Order) Arrive(c Class) {
	o.share(c).arrive()
	o.all.arrive()
}

// Serve counts a place given to a request of the class, whether it waited or not.
func (o *Order) Serve(c Class) {
	o.share(c).served++
	o.all.served++
}

func (o *Order) share(c Class) *share {
	if o.shares == nil {
		o.shares = make(map[Class]*share)
	}
	s, ok := o.shares[c]
	if !ok {
		s = &share{}
		o.shares[c] = s
	}
	return s
}

// Starves reports whether the class has been served less than a quarter as often as all requests, and by at least one request.
func (o *Order) Starves(c Class) bool {
	s := o.share(c)
	return s.served+1 <= s.requests*o.all.value()/placesPerLate
}

// Next returns the index of the request that should get the next place, -1 if none waits. running returns the running requests of
// a workspace.
//
// Requests that can be in time come before those that cannot, in the order of rank, running requests of the workspace relative to
// its weight, kept appointments and arrival. One place in placesPerLate goes to a late request. Among late requests the class of
// which the smallest share has been served comes first: by urgency, late requests of the most urgent rank would take all these
// places, and the other ranks would starve.
func (o *Order) Next(waiting []*Entry, running func(workspace string) int, now time.Time) int {
	first, firstLate := -1, -1
	for i, e := range waiting {
		switch {
		case e.Late(now):
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
	if waiting[i].Late(now) {
		o.sinceLate = 0
		return
	}
	for _, e := range waiting {
		if e.Late(now) {
			o.sinceLate++
			return
		}
	}
}

func compareInTime(a, b *Entry, running func(string) int) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareWithinRank(a, b, running))
}

func (o *Order) compareLate(a, b *Entry, running func(string) int) int {
	if a.Class != b.Class {
		return cmp.Or(cmp.Compare(o.shares[a.Class].value(), o.shares[b.Class].value()), cmp.Compare(a.Rank, b.Rank), a.Arrived.Compare(b.Arrived))
	}
	return compareWithinRank(a, b, running)
}

// Ahead returns how many places are given before e gets one if no other request arrives.
func (o *Order) Ahead(waiting []*Entry, e *Entry, running func(string) int, now time.Time) int {
	inTime, late := 0, 0
	for _, other := range waiting {
		switch {
		case other == e:
		case other.Late(now):
			if !e.Late(now) || o.compareLate(other, e, running) < 0 {
				late++
			}
		case e.Late(now) || compareInTime(other, e, running) < 0:
			inTime++
		}
	}
	if e.Late(now) {
		return late + min(inTime, (late+1)*(placesPerLate-1))
	}
	return inTime + min(late, (o.sinceLate+inTime)/(placesPerLate-1))
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
