package integration

import (
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

// freezeEngines makes all engines do nothing for a while, and calls meanwhile.
func (f *fleet) freezeEngines(d time.Duration, meanwhile func()) {
	began := time.Now()
	for _, e := range f.Engines {
		e.Freeze(true)
	}
	thawed := make(chan time.Duration)
	time.AfterFunc(d, func() {
		for _, e := range f.Engines {
			e.Freeze(false)
		}
		thawed <- time.Since(began)
	})
	meanwhile()
	f.Logf("engines were frozen for %v", <-thawed)
}

// runStreams runs some streams, calls interrupt while they run, and checks that they end whole.
func (f *fleet) runStreams(interrupt func()) {
	replies := make([]lab.Reply, 6)
	var streams sync.WaitGroup
	for i := range replies {
		streams.Go(func() { replies[i] = f.complete(i%2, "silent for a while", 300, nil) })
	}
	interrupt()
	streams.Wait()
	for _, r := range replies {
		f.Check(r.Complete, qt.IsTrue, qt.Commentf("status %d, verdict %s, %d events, %v", r.Status, r.Verdict, r.Events, r.Err))
	}
}

// Guards against cutting off the answers of engines that are silent for a second while the configuration changes.
func TestStreamsOutliveASilenceOfTheirEngines(t *testing.T) {
	const silence = 1200 * time.Millisecond
	f := newFleet(t)
	changed := f.editedCopy("workspace-pledges.json", `"min": 1`, `"min": 0`)
	original := filepath.Join(f.ConfigDir, "workspace-pledges.json")
	f.runStreams(func() {
		for _, file := range []string{changed, original, changed} {
			time.Sleep(300 * time.Millisecond)
			f.freezeEngines(silence, func() { f.Check(f.CLI("apply", file).Code, qt.Equals, 0) })
		}
	})
}

// Guards against cutting off the answers of engines that are silent for longer than there is evidence of them, although their groups have
// not been ended. The store is down so that nobody can end them.
func TestStreamsOutliveASilenceOfTheirEnginesWithoutEvidence(t *testing.T) {
	const silence = 2500 * time.Millisecond
	f := newFleet(t)
	f.runStreams(func() {
		time.Sleep(300 * time.Millisecond)
		f.Objects.Down.Store(true)
		f.freezeEngines(silence, func() {})
		f.Objects.Down.Store(false)
	})
}

// Guards against cutting off, while its group is drained, the answer of an engine that is silent for a while.
func TestStreamsOfADrainedGroupOutliveASilence(t *testing.T) {
	const silence = 2500 * time.Millisecond
	f := newFleet(t)
	f.runStreams(func() {
		vm := f.busyVM()
		f.Check(f.CLI("drain", vm).Code, qt.Equals, 0)
		f.waitUntil("the group takes no new requests", func() bool {
			_, usable, _ := f.groupOf(vm)
			return !usable
		})
		f.Objects.Down.Store(true)
		f.freezeEngines(silence, func() {})
		f.Objects.Down.Store(false)
	})
}
