package main

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/settings"
)

const (
	letters    = "letters-70b"
	shareTime  = 4 * time.Second
	settleTime = 2 * time.Second
	callers    = 120 // of each workspace: several times the pool's 32 places
)

func (h *harness) small() lab.Options {
	return lab.Options{TokenInterval: 10 * time.Millisecond, Prefill: 20 * time.Millisecond, Config: h.root + "/test/bench/small"}
}

func split(s *settings.Settings) { s.PlacesPolicy = settings.PlacesSplit }

// shares measures how places divide between two workspaces of shares 3:1 that both always wait.
func shares(h *harness) ([]result, error) {
	var rows []result
	for _, skew := range []int{0, 50, 100} {
		base, err := h.shareRatio(skew, split)
		if err != nil {
			return nil, err
		}
		ours, err := h.shareRatio(skew)
		if err != nil {
			return nil, err
		}
		rows = append(rows, result{fmt.Sprintf("answers 3:1 at skew %d:%d", skew, 100-skew), "ratio", base, ours, "3 +-5%", math.Abs(ours/3-1) <= 0.05})
	}
	lent, err := h.lending()
	if err != nil {
		return nil, err
	}
	flood, err := h.flood()
	return append(rows, append(lent, flood...)...), err
}

// shareRatio returns answered tokens of donors for each of pledges, when skew of 100 of donors' callers and
// the rest of pledges' callers use the first node.
func (h *harness) shareRatio(skew int, tunes ...lab.SettingsOption) (float64, error) {
	l, nodes, err := h.start(h.small(), 2, 4, tunes...)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	var donors, pledges atomic.Int64
	end := time.Now().Add(settleTime + shareTime)
	from := time.Now().Add(settleTime)
	var all sync.WaitGroup
	for i := range callers {
		first, second := nodes[0], nodes[1]
		if i >= callers*skew/100 {
			first, second = second, first
		}
		all.Go(func() { keepAsking("donors", first, end, from, &donors) })
		all.Go(func() { keepAsking("pledges", second, end, from, &pledges) })
	}
	all.Wait()
	return float64(donors.Load()) / float64(pledges.Load()), nil
}

// keepAsking asks for completions until end and counts the events that come after from.
func keepAsking(workspace string, n *lab.Node, end, from time.Time, count *atomic.Int64) {
	c := lab.NewCaller(workspace + "-caller-token")
	for time.Now().Before(end) {
		reply := c.Complete(n.Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "p", Tokens: 20, OnEvent: func(int) error {
			now := time.Now()
			if now.After(from) && now.Before(end) {
				count.Add(1)
			}
			return nil
		}})
		if reply.Status != 200 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// lending measures the use of the pool by one workspace alone, and how soon the other gets its share back.
func (h *harness) lending() ([]result, error) {
	full, err := h.fullRate()
	if err != nil {
		return nil, err
	}
	var use [2]float64
	var back [2]float64
	for i, tunes := range [][]lab.SettingsOption{{split}, nil} {
		l, nodes, err := h.start(h.small(), 2, 4, tunes...)
		if err != nil {
			return nil, err
		}
		var lender, borrower, late atomic.Int64
		start := time.Now()
		middle, end := start.Add(settleTime+shareTime), start.Add(settleTime+2*shareTime)
		var all sync.WaitGroup
		for range callers {
			all.Go(func() { keepAsking("pledges", nodes[0], end, start.Add(settleTime), &borrower) })
			all.Go(func() {
				time.Sleep(time.Until(middle))
				keepAsking("donors", nodes[1], end, middle.Add(1200*time.Millisecond), &lender)
			})
		}
		time.Sleep(time.Until(middle))
		use[i] = float64(borrower.Load()) / shareTime.Seconds() / full
		time.Sleep(time.Until(middle.Add(1200 * time.Millisecond)))
		before := borrower.Load()
		all.Wait()
		late.Store(borrower.Load() - before)
		back[i] = float64(lender.Load()) / float64(late.Load())
		l.Close()
	}
	return []result{
		{"pool used by one workspace alone", "part", use[0], use[1], ">0.95", use[1] > 0.95},
		{"ratio from 1.2 s after the lender's return", "ratio", back[0], back[1], "3 +-5%", math.Abs(back[1]/3-1) <= 0.05},
	}, nil
}

// fullRate measures the events a second of the pool when 8 callers keep each of its 4 engines busy directly.
func (h *harness) fullRate() (float64, error) {
	l, _, err := h.start(h.small(), 1, 4)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	s, err := l.Status()
	if err != nil {
		return 0, err
	}
	var events atomic.Int64
	end := time.Now().Add(shareTime)
	var all sync.WaitGroup
	for i := range 32 {
		e := l.Engines[s.Groups[i/8].VMs[0]]
		all.Go(func() {
			c := lab.NewCaller("")
			for n := 0; time.Now().Before(end); n++ {
				c.CompleteAtEngine(e.Address, e.State(), lab.Completion{Prompt: fmt.Sprint(i, "-", n), Tokens: 20, OnEvent: func(int) error {
					events.Add(1)
					return nil
				}})
			}
		})
	}
	all.Wait()
	return float64(events.Load()) / shareTime.Seconds(), nil
}

// flood measures another workspace's p99 first token at half its share, alone and beside a flood.
func (h *harness) flood() ([]result, error) {
	var p99 [2]float64
	for i, flooded := range []bool{false, true} {
		l, nodes, err := h.start(h.small(), 2, 4)
		if err != nil {
			return nil, err
		}
		lat := newLatencies()
		stop := time.Now().Add(settleTime + 2*shareTime)
		from := time.Now().Add(settleTime)
		var all sync.WaitGroup
		if flooded {
			for j := range 640 { // 20 times the places
				all.Go(func() { keepAsking("pledges", nodes[j%2], stop, stop, new(atomic.Int64)) })
			}
		}
		donors := lab.NewCaller("donors-caller-token")
		// donors' share is 24 places; half of it is 12 requests at a time, 0.21 s each.
		openLoop(12/0.21, settleTime+2*shareTime, func(n int) {
			reply := donors.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "q", Tokens: 20})
			if reply.Complete && time.Now().After(from) {
				lat.add(reply.FirstToken)
			}
		})
		all.Wait()
		p99[i] = lat.ms(99)
		l.Close()
	}
	return []result{{"p99 first token beside a 20-fold flood", "ms", p99[0], p99[1], "<=1.1x", p99[1] <= 1.1*p99[0]}}, nil
}
