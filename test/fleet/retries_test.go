package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// smallFleet is a number of nodes of which callers use every one. In a larger fleet they use one in usedDivisor.
	smallFleet  = 9
	usedDivisor = 5
	// retryLoad is the number of requests per second that callers send to all nodes together.
	retryLoad = 150
)

// load lets callers use the fleet for the given time.
func (f *fleet) load(d time.Duration) {
	used := f.processes
	if len(used) > 2*smallFleet {
		used = used[:len(used)/usedDivisor]
	}
	f.callers.load(used, retryLoad, d)
}

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

// replaceAll starts as many new nodes as there are, and kills the others two seconds later.
func (f *fleet) replaceAll() {
	old := f.processes
	var started []*process
	for i := range old {
		started = append(started, f.start(len(old)+i, false))
	}
	f.processes = append(append([]*process{}, old...), started...)
	f.load(2 * time.Second)
	f.kill(old...)
	f.processes = started
}

// Guards against nodes that together retry beyond the limits while all endpoints fail: nodes that have just started and do not
// know what was retried before, and nodes that hear few others and so divide the slack among few.
func TestNodesTogetherStayWithinRetryLimits(t *testing.T) {
	for _, c := range []struct {
		name     string
		disrupt  func(f *fleet)
		duration time.Duration // of the load afterwards
		large    bool          // also tested with a large fleet
	}{
		{"all is well", func(*fleet) {}, 15 * time.Second, false},
		{"all start again three times", func(f *fleet) {
			for range 3 {
				f.restartAll()
				f.load(2500 * time.Millisecond)
			}
		}, 12 * time.Second, false},
		{"all are replaced by others", (*fleet).replaceAll, 12 * time.Second, false},
		{"split in halves", func(f *fleet) { f.splitHalves() }, 15 * time.Second, false},
		{"each hears no other", func(f *fleet) { f.splitAll() }, 15 * time.Second, true},
		{"all start again in halves", func(f *fleet) { f.splitHalves(); f.restartAll() }, 15 * time.Second, true},
		{"all start again and hear no other", func(f *fleet) { f.splitAll(); f.restartAll() }, 15 * time.Second, false},
		{"all start again twice and hear no other", func(f *fleet) {
			f.splitAll()
			f.restartAll()
			f.load(4 * time.Second)
			f.restartAll()
		}, 15 * time.Second, false},
		{"each hears no other, all start again, the paths heal", func(f *fleet) {
			f.splitAll()
			f.load(5 * time.Second)
			f.restartAll()
			f.load(3 * time.Second)
			f.rejoin()
		}, 12 * time.Second, false},
	} {
		sizes := []int{smallFleet}
		if c.large {
			sizes = append(sizes, *nodes)
		}
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d nodes", c.name, size), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(size)
					_, ok := await(30*time.Second, func() bool { return f.countReady() == size && f.countRouting() == size })
					qt.Assert(t, ok, qt.IsTrue)
					f.load(12 * time.Second)
					c.disrupt(f)
					f.load(c.duration)
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
}
