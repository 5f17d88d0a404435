package gateway

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/estate"
)

// silence is how long engines or nodes do nothing. It is longer than a running stream may be silent before another group is tried.
const silence = 1200 * time.Millisecond

// engineWorkers returns the workers that form groups.
func (f *fleet) engineWorkers() []*estate.Worker { return f.workersOf("engines") }

// refuseAtEngines makes all engines refuse further requests, or accept them again.
func (f *fleet) refuseAtEngines(on bool) {
	for _, w := range f.engineWorkers() {
		w.Refuse(on)
	}
}

// checkComplete checks that all streams ended complete.
func (f *fleet) checkComplete(results []*result) {
	f.t.Helper()
	for _, r := range results {
		qt.Check(f.t, r.isComplete(), qt.IsTrue, qt.Commentf("%s: status %d, %d events, %v", r.id, r.status, len(r.events), r.err))
	}
}

// Guards against cutting off the answers of endpoints that are silent for a second while the configuration changes and no other endpoint
// takes more requests.
func TestStreamsOutliveASilenceDuringAChangeOfTheConfiguration(t *testing.T) {
	f := newFleet(t)
	f.awaitRetries()
	for version := range 3 {
		results := f.runStreams(func() {
			f.platform.Configure(version+2, 5000, "key-1", "key-2")
			f.refuseAtEngines(true)
			for _, w := range f.engineWorkers() {
				w.Freeze(silence)
			}
		})
		f.checkComplete(results)
		f.refuseAtEngines(false)
	}
}

// Guards against taking a pause of the node itself for a silence of its endpoints that ends their answers.
func TestStreamsOutliveAPauseOfTheirNode(t *testing.T) {
	f := newFleet(t)
	f.awaitRetries()
	results := f.runStreams(func() {
		f.refuseAtEngines(true)
		for _, n := range f.nodes {
			n.signal(syscall.SIGSTOP)
		}
		time.Sleep(silence)
		for _, n := range f.nodes {
			n.signal(syscall.SIGCONT)
		}
	})
	f.checkComplete(results)
}

// Guards against cutting off, at a planned stop, the answers of endpoints that are silent for a second.
func TestStreamsOutliveASilenceWhileTheirNodesStop(t *testing.T) {
	for name, graceMS := range map[string]settings.Milliseconds{"usual grace": 6000, "short grace": 2500} {
		t.Run(name, func(t *testing.T) {
			f := newFleetWith(t, func(s *settings.Gateway) { s.GraceMS = graceMS })
			f.awaitRetries()
			results := f.runStreams(func() {
				f.refuseAtEngines(true)
				for _, w := range f.engineWorkers() {
					w.Freeze(silence)
				}
				for _, n := range f.nodes {
					n.signal(syscall.SIGHUP)
					n.signal(syscall.SIGTERM)
				}
			})
			f.checkComplete(results)
		})
	}
}
