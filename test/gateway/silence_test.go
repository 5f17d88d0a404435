package gateway

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/estate"
)

// silence is how long engines or nodes do nothing. It is longer than a running stream may be silent before another group is tried.
const silence = 1200 * time.Millisecond

// engineWorkers returns the workers that form groups.
func (f *fleet) engineWorkers() []*estate.Worker {
	var out []*estate.Worker
	for _, w := range f.platform.Workers() {
		if w.Service == "engines" {
			out = append(out, w)
		}
	}
	return out
}

// Guards against cutting off the answers of endpoints that are silent for a second while the configuration changes and no other endpoint
// takes more requests.
func TestStreamsOutliveASilenceDuringAChangeOfTheConfiguration(t *testing.T) {
	f := newFleet(t)
	f.awaitRetries()
	for version := range 3 {
		results := f.runStreams(func() {
			f.platform.Configure(version+2, 5000, "key-1", "key-2")
			for _, w := range f.engineWorkers() {
				w.Freeze(silence)
				w.Refuse(true)
			}
		})
		for _, r := range results {
			qt.Check(t, r.isComplete(), qt.IsTrue, qt.Commentf("%s: status %d, %d events, %v", r.id, r.status, len(r.events), r.err))
		}
		for _, w := range f.engineWorkers() {
			w.Refuse(false)
		}
	}
}

// Guards against taking a pause of the node itself for a silence of its endpoints that ends their answers.
func TestStreamsOutliveAPauseOfTheirNode(t *testing.T) {
	f := newFleet(t)
	f.awaitRetries()
	results := f.runStreams(func() {
		for _, w := range f.engineWorkers() {
			w.Refuse(true)
		}
		for _, n := range f.nodes {
			n.signal(syscall.SIGSTOP)
		}
		time.Sleep(silence)
		for _, n := range f.nodes {
			n.signal(syscall.SIGCONT)
		}
	})
	for _, r := range results {
		qt.Check(t, r.isComplete(), qt.IsTrue, qt.Commentf("%s: status %d, %d events, %v", r.id, r.status, len(r.events), r.err))
	}
}

// Guards against cutting off, at a planned stop, the answers of endpoints that are silent for a second.
func TestStreamsOutliveASilenceWhileTheirNodesStop(t *testing.T) {
	f := newFleet(t)
	f.awaitRetries()
	results := f.runStreams(func() {
		for _, w := range f.engineWorkers() {
			w.Freeze(silence)
			w.Refuse(true)
		}
		for _, n := range f.nodes {
			n.signal(syscall.SIGHUP)
			n.signal(syscall.SIGTERM)
		}
	})
	for _, r := range results {
		qt.Check(t, r.isComplete(), qt.IsTrue, qt.Commentf("%s: status %d, %d events, %v", r.id, r.status, len(r.events), r.err))
	}
}
