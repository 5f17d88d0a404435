package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// retryNodes is the number of nodes of the fleets whose retries are counted.
	retryNodes = 9
	// retryLoad is the number of requests per second that callers send to all nodes together.
	retryLoad = 150
)

// splitAll puts each node into a part of the network of its own, in which it hears no other.
func (f *fleet) splitAll() {
	for i, proc := range f.processes {
		f.network.Split(i, proc.port)
	}
}

// splitHalves cuts the paths between every second node and the others.
func (f *fleet) splitHalves() {
	for i, proc := range f.processes {
		f.network.Split(i%2, proc.port)
	}
}

func (f *fleet) rejoin() {
	for _, proc := range f.processes {
		f.network.Split(0, proc.port)
	}
}

// restartAll kills all processes and starts new ones after a tenth of a second, in the same parts of the network.
func (f *fleet) restartAll() {
	old := append([]*process{}, f.processes...)
	f.killAll()
	time.Sleep(100 * time.Millisecond)
	f.startAll(false)
	for i, proc := range f.processes {
		f.network.Split(f.network.Part(old[i].port), proc.port)
	}
}

// Guards against nodes that together retry beyond the limits while all endpoints fail: nodes that have just started and do not
// know what was retried before, and nodes that hear few others and so divide the slack among few.
func TestNodesTogetherStayWithinRetryLimits(t *testing.T) {
	load := func(f *fleet, d time.Duration) { f.callers.load(f.processes, retryLoad, d) }
	for _, c := range []struct {
		name     string
		disrupt  func(f *fleet)
		duration time.Duration // of the load afterwards
	}{
		{"all is well", func(*fleet) {}, 15 * time.Second},
		{"all start again three times", func(f *fleet) {
			for range 3 {
				f.restartAll()
				load(f, 2500*time.Millisecond)
			}
		}, 12 * time.Second},
		{"split in halves", func(f *fleet) { f.splitHalves() }, 15 * time.Second},
		{"each hears no other", func(f *fleet) { f.splitAll() }, 15 * time.Second},
		{"all start again in halves", func(f *fleet) { f.splitHalves(); f.restartAll() }, 15 * time.Second},
		{"all start again and hear no other", func(f *fleet) { f.splitAll(); f.restartAll() }, 15 * time.Second},
		{"all start again twice and hear no other", func(f *fleet) {
			f.splitAll()
			f.restartAll()
			load(f, 4*time.Second)
			f.restartAll()
		}, 15 * time.Second},
		{"each hears no other, all start again, the paths heal", func(f *fleet) {
			f.splitAll()
			load(f, 5*time.Second)
			f.restartAll()
			load(f, 3*time.Second)
			f.rejoin()
		}, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(retryNodes)
				_, ok := await(30*time.Second, func() bool { return f.countReady() == retryNodes && f.countRouting() == retryNodes })
				qt.Assert(t, ok, qt.IsTrue)
				load(f, 12*time.Second)
				c.disrupt(f)
				load(f, c.duration)
				f.callers.tasks.Wait()
				requests, retries := f.callers.record.Count()
				w := f.callers.record.WorstWindow(retryLimits)
				t.Logf("%d requests, %d retries; worst window: %d retries, allowed %.0f", requests, retries, w.Retries, w.Allowed)
				qt.Check(t, retries > 0, qt.IsTrue)
				qt.Check(t, w.Exceeds(), qt.IsFalse, qt.Commentf("%d retries in a window, allowed %.0f", w.Retries, w.Allowed))
				f.stop()
			})
		})
	}
}
