package main

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// rollAndDrain rolls a model out to a new version under load and then drains the leader of a group.
func rollAndDrain(h *harness) ([]result, error) {
	l, nodes, err := h.start(h.smallOptions(), 2, 4)
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
	var incomplete, complete atomic.Int64
	stop := make(chan struct{})
	go func() {
		c := lab.NewCaller("donors-caller-token")
		openLoop(40, 30*time.Second, func(n int) {
			select {
			case <-stop:
				return
			default:
			}
			if c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: lettersModel, Prompt: "v", Tokens: 40}).Complete {
				complete.Add(1)
			} else {
				incomplete.Add(1)
			}
		})
	}()
	if out := l.CLI("apply", file); out.Code != 0 {
		return nil, outputError(out)
	}
	minUsable, rolled := 4, 0
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
		minUsable = min(minUsable, usable)
		return rolled == 4
	})
	if err != nil {
		return nil, err
	}
	lateRequests, err := requestsAfterDrain(l)
	close(stop)
	return []result{
		{"usable groups of 4 while rolling, the least", "count", 0, float64(minUsable), ">=3", minUsable >= 3},
		{"requests not whole while rolling and draining", "count", 0, float64(incomplete.Load()), "0", incomplete.Load() == 0},
		{"requests to a drained VM's leader after 3 s", "count", 0, float64(lateRequests), "0", lateRequests == 0},
	}, err
}

// requestsAfterDrain drains the leader of a group and counts the requests that it receives between 3 s and 6 s after that.
func requestsAfterDrain(l *lab.Lab) (int64, error) {
	s, err := l.Status()
	if err != nil {
		return 0, err
	}
	leader := s.Groups[0].VMs[0]
	if out := l.CLI("drain", leader); out.Code != 0 {
		return 0, outputError(out)
	}
	const drainDelay, countingTime = 3 * time.Second, 3 * time.Second
	time.Sleep(drainDelay)
	before := l.Engines[leader].Requests.Load()
	time.Sleep(countingTime)
	return l.Engines[leader].Requests.Load() - before, nil
}
