package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

const receiptsPath = "/services/receipts/receipts"

// onceOnly sends calls that may not be repeated under faults, sends each again through other addresses until
// its outcome is known, and counts the runs at the endpoints. The baseline sends again without a key.
func onceOnly(h *harness) ([]result, error) {
	base, err := h.sendOnce(false)
	if err != nil {
		return nil, err
	}
	ours, err := h.sendOnce(true)
	if err != nil {
		return nil, err
	}
	all := float64(ours.calls)
	return []result{
		{"calls that ran twice or more", "count", float64(base.doubled), float64(ours.doubled), "0", ours.doubled == 0},
		{"said not run, and ran", "count", float64(base.lies), float64(ours.lies), "0", ours.lies == 0},
		{"answers cut by endpoints after a run", "part", float64(base.cut) / float64(base.calls), float64(ours.cut) / all, "-", true},
		{"calls that end as may have run", "part", float64(base.unknown) / float64(base.calls), float64(ours.unknown) / all, "low", float64(ours.unknown)/all < 0.05},
		{"calls that end with their answer", "part", float64(base.answered) / float64(base.calls), float64(ours.answered) / all, ">0.95", float64(ours.answered)/all > 0.95},
	}, nil
}

// onceCounts are calls; cut are those whose answer an endpoint cut after running them.
type onceCounts struct{ calls, doubled, lies, unknown, answered, cut int64 }

// sendOnce sends calls at a rate while nodes are killed and paused, answers cut and the store is out.
func (h *harness) sendOnce(keyed bool) (onceCounts, error) {
	l, nodes, err := h.start(h.small(), 3, 4)
	if err != nil {
		return onceCounts{}, err
	}
	defer l.Close()
	const length = 15 * time.Second
	f := &faultLine{lab: l, nodes: nodes}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { f.run(stop) })
	var counts onceCounts
	openLoop(100, length, func(n int) { f.call(n, keyed, &counts) })
	close(stop)
	faults.Wait()
	for n := range counts.calls {
		if f.runs(fmt.Sprint("call", n)) > 1 {
			counts.doubled++
		}
	}
	for _, p := range l.PlainEndpoints {
		counts.cut += p.Aborted.Load()
	}
	return counts, nil
}

// faultLine breaks a lab in a fixed order, and keeps callers' addresses while nodes are replaced.
type faultLine struct {
	lab   *lab.Lab
	mu    sync.Mutex
	nodes []*lab.Node
}

func (f *faultLine) address(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i%len(f.nodes)].Settings.CallerAddress
}

func (f *faultLine) run(stop <-chan struct{}) {
	const pause = 700 * time.Millisecond
	for round := 0; ; round++ {
		select {
		case <-stop:
			f.lab.Objects.Down.Store(false)
			return
		case <-time.After(pause):
		}
		i := round % len(f.nodes)
		switch round % 4 {
		case 0:
			for _, p := range f.lab.PlainEndpoints {
				p.AbortNext.Store(2)
			}
		case 1:
			f.nodes[i].Pause(true)
			time.Sleep(pause)
			f.nodes[i].Pause(false)
		case 2:
			f.lab.Objects.Down.Store(!f.lab.Objects.Down.Load())
		default:
			f.nodes[i].Kill()
			if n, err := f.lab.Restart(f.nodes[i]); err == nil {
				f.mu.Lock()
				f.nodes[i] = n
				f.mu.Unlock()
			}
		}
	}
}

// runs returns how often a call has run at all endpoints.
func (f *faultLine) runs(mark string) int {
	runs := 0
	for _, p := range f.lab.PlainEndpoints {
		runs += p.Runs(mark)
	}
	return runs
}

// call sends one call until its outcome is known, at most a few times.
func (f *faultLine) call(n int, keyed bool, counts *onceCounts) {
	gifts := lab.NewCaller("gifts-caller-token")
	mark := fmt.Sprint("call", n)
	key := ""
	if keyed {
		prefix := ""
		for try := 0; prefix == "" && try < 5; try++ {
			prefix, _ = gifts.KeyPrefix(f.address(n + try))
		}
		key = prefix + "/" + mark
	}
	const sends = 6
	var last lab.Reply
	for send := range sends {
		last = gifts.CallService(f.address(n+send), http.MethodPost, receiptsPath, mark, key, "1")
		if last.Status == http.StatusOK || keyed && last.Status == http.StatusConflict {
			break // the answer, or that nobody will ever know
		}
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	}
	runs := f.runs(mark)
	atomic.AddInt64(&counts.calls, 1)
	switch {
	case last.Verdict == "ran" && last.Status == http.StatusOK:
		atomic.AddInt64(&counts.answered, 1)
	case last.Verdict == "not-run" && runs > 0:
		atomic.AddInt64(&counts.lies, 1)
	case last.Verdict != "not-run":
		atomic.AddInt64(&counts.unknown, 1)
	}
}
