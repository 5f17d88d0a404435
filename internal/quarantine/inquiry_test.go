package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/quarantine"
)

// domain is a fabric domain of endpoints that can be asked.
type domain struct {
	quarantine.Inquiry

	mu       sync.Mutex
	findings map[string]quarantine.Finding // by id; the others live
	asked    int
	list     []*endpoint.Endpoint
}

func newDomain(name string, size int) *domain {
	d := &domain{findings: make(map[string]quarantine.Finding)}
	directory := endpoint.NewDirectory(time.Second)
	for i := range size {
		d.list = append(d.list, &endpoint.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Zone: "z", Domain: name})
	}
	directory.Apply(d.list, nil, time.Now())
	d.Inquiry = quarantine.Inquiry{Table: quarantine.NewTable(), Directory: directory, Ask: d.ask, Noted: func(bool) {}, Logger: log.NewNopLogger()}
	return d
}

func (d *domain) ask(_ context.Context, e *endpoint.Endpoint) quarantine.Finding {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	if f, known := d.findings[e.ID]; known {
		return f
	}
	return quarantine.Alive
}

// lose makes every endpoint with that finding.
func (d *domain) lose(found quarantine.Finding, which ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range which {
		d.findings[d.list[i].ID] = found
	}
}

// endings returns how many endings stand against the request once every question is answered.
func (d *domain) endings(f quarantine.Fingerprint) int {
	synctest.Wait()
	records, _ := d.Table.Since(0, everything, 100)
	for _, r := range records {
		if r.Fingerprint == f {
			return len(r.Endings)
		}
	}
	return 0
}

func TestEndingsThatHaveAnotherReasonCountAgainstNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		play func(d *domain)
		want int
	}{
		"it ended alone":       {func(d *domain) { d.lose(quarantine.Ended, 0) }, 1},
		"only its connections": {func(*domain) {}, 0},
		"it is silent":         {func(d *domain) { d.lose(quarantine.Unknown, 0) }, 0},
		"its domain is lost":   {func(d *domain) { d.lose(quarantine.Ended, 0, 1, 2, 3, 4) }, 0},
		"its domain is dark":   {func(d *domain) { d.lose(quarantine.Unknown, 1, 2, 3, 4); d.lose(quarantine.Ended, 0) }, 0},
		"two others are gone":  {func(d *domain) { d.lose(quarantine.Ended, 0, 1, 2) }, 1},
		"it was leaving": {func(d *domain) {
			d.lose(quarantine.Ended, 0)
			leaving := *d.list[0]
			leaving.Draining = true
			d.Directory.Apply([]*endpoint.Endpoint{&leaving}, nil, time.Now())
		}, 0},
		"it had said in an answer that it leaves": {func(d *domain) {
			d.lose(quarantine.Ended, 0)
			d.Directory.MarkLeaving(d.list[0].ID, time.Now())
		}, 0},
		"it had left the list": {func(d *domain) {
			d.lose(quarantine.Ended, 0)
			d.Directory.Apply(nil, []string{d.list[0].ID}, time.Now())
		}, 0},
	} {
		for _, domainName := range []string{"d", ""} {
			synctest.Test(t, func(t *testing.T) {
				d := newDomain(domainName, 5)
				c.play(d)
				d.Failed(d.list[0], deadly, false)
				d.Failed(d.list[0], deadly, false)
				qt.Check(t, d.endings(deadly), qt.Equals, c.want, qt.Commentf("%s, domain %q", name, domainName))
			})
		}
	}
}

// Guards against taking the ends of endpoints under one request for the loss of their domain: of those beside one that has ended
// some have ended as well, and this node knows of it.
func TestEndpointKnownToHaveEndedTellsNothingOfItsDomain(t *testing.T) {
	for range 100 { // whom it asks is a matter of chance
		synctest.Test(t, func(t *testing.T) {
			d := newDomain("d", 6)
			d.lose(quarantine.Ended, 0)
			d.Failed(d.list[0], deadly, false)
			qt.Assert(t, d.endings(deadly), qt.Equals, 1)
			d.lose(quarantine.Ended, 1, 2, 3)
			d.Failed(d.list[1], deadly, true)
			qt.Assert(t, d.endings(deadly), qt.Equals, 2)
		})
	}
}

// A whole domain is lost under callers that all ask for the same, three times over.
func TestLossOfDomainsHoldsNobodyBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain("d", 6)
		d.lose(quarantine.Ended, 0, 1, 2, 3, 4, 5)
		for _, e := range d.list {
			d.Failed(e, other, false)
		}
		synctest.Wait()
		_, held := d.Table.Held(other, time.Now())
		qt.Check(t, held, qt.IsFalse)
	})
}

func TestEndpointThatStartsAgainUnderItsIDEndsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain("d", 5)
		for life := range 3 {
			again := *d.list[0]
			again.ID = endpoint.Life(again.ID, int64(100+life))
			d.Directory.Apply([]*endpoint.Endpoint{&again}, nil, time.Now())
			d.findings[again.ID] = quarantine.Ended
			d.Failed(&again, deadly, false)
			synctest.Wait()
			time.Sleep(3 * time.Second)
		}
		_, held := d.Table.Held(deadly, time.Now())
		qt.Check(t, held, qt.IsTrue)
	})
}

func TestRequestThatWasGivenUpJustBeforeTheEndCountsToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain("d", 5)
		d.Left(d.list[0], deadly)
		d.Refused(d.list[1])
		qt.Check(t, d.endings(deadly), qt.Equals, 0)
		qt.Check(t, d.asked, qt.Equals, 0, qt.Commentf("nothing was given up there"))
		time.Sleep(time.Second)
		d.lose(quarantine.Ended, 0)
		d.Refused(d.list[0])
		qt.Check(t, d.endings(deadly), qt.Equals, 1)
		d.Left(d.list[1], other)
		time.Sleep(5 * time.Second)
		d.lose(quarantine.Ended, 1)
		d.Refused(d.list[1])
		qt.Check(t, d.endings(other), qt.Equals, 0, qt.Commentf("that was long ago"))
	})
}

// All streams of a replica group break at once; the endpoint is asked once for all of them.
func TestOneQuestionServesAllRequestsOfAnEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain("d", 5)
		d.lose(quarantine.Ended, 0)
		for f := range quarantine.Fingerprint(17) {
			d.Failed(d.list[0], f, false)
		}
		qt.Check(t, d.endings(0), qt.Equals, 1)
		d.Failed(d.list[0], 17, false)
		qt.Check(t, d.endings(17), qt.Equals, 1, qt.Commentf("a connection that breaks a moment later"))
		qt.Check(t, d.asked, qt.Equals, 2, qt.Commentf("the endpoint, and one beside it"))
	})
}

// Of a request's two sendings the second is made after the first endpoint has ended; both ended under it.
func TestEndOfAnEndpointThatTookTheRequestUpCountsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain("d", 8)
		d.lose(quarantine.Ended, 0, 1, 2)
		d.Failed(d.list[0], deadly, false)
		d.Failed(d.list[1], deadly, true)
		d.Failed(d.list[2], deadly, true)
		synctest.Wait()
		_, held := d.Table.Held(deadly, time.Now())
		qt.Check(t, held, qt.IsTrue)
	})
}
