package main

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// rollAndLeave rolls a model to a new version under load, then drains an endpoint.
func rollAndLeave(h *harness) ([]result, error) {
	l, nodes, err := h.start(h.small(), 2, 4)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	content, err := os.ReadFile(filepath.Join(l.ConfigDir, "donors.json"))
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.Dir, "donors.json")
	if err := os.WriteFile(file, []byte(strings.Replace(string(content), `"version": "1"`, `"version": "2"`, 1)), 0o600); err != nil {
		return nil, err
	}
	var cut, whole atomic.Int64
	stop := make(chan struct{})
	go func() {
		c := lab.NewCaller("donors-caller-token")
		openLoop(40, 30*time.Second, func(n int) {
			select {
			case <-stop:
				return
			default:
			}
			if c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "v", Tokens: 40}).Complete {
				whole.Add(1)
			} else {
				cut.Add(1)
			}
		})
	}()
	if out := l.CLI("apply", file); out.Code != 0 {
		return nil, errorOf(out)
	}
	least, rolled := 4, 0
	err = lab.WaitUntil(60*time.Second, "every group at version 2", func() bool {
		s, err := l.Status()
		if err != nil {
			return false
		}
		usable := 0
		rolled = 0
		for _, g := range s.Groups {
			if g.Usable {
				usable++
			}
			if g.Usable && g.Version == "2" {
				rolled++
			}
		}
		least = min(least, usable)
		return rolled == 4
	})
	if err != nil {
		return nil, err
	}
	late, err := newWorkAfterDrain(l)
	close(stop)
	return []result{
		{"usable groups of 4 while rolling, the least", "count", 0, float64(least), ">=3", least >= 3},
		{"requests not whole while rolling and draining", "count", 0, float64(cut.Load()), "0", cut.Load() == 0},
		{"requests to a drained VM's leader after 3 s", "count", 0, float64(late), "0", late == 0},
	}, err
}

// newWorkAfterDrain drains the leader of a group and counts what it is asked for from 3 s on.
func newWorkAfterDrain(l *lab.Lab) (int64, error) {
	s, err := l.Status()
	if err != nil {
		return 0, err
	}
	leader := s.Groups[0].VMs[0]
	if out := l.CLI("drain", leader); out.Code != 0 {
		return 0, errorOf(out)
	}
	const limit, watch = 3 * time.Second, 3 * time.Second
	time.Sleep(limit)
	before := l.Engines[leader].Requests.Load()
	time.Sleep(watch)
	return l.Engines[leader].Requests.Load() - before, nil
}
