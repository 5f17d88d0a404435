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
	lettersModel        = "letters-70b"
	shareDuration       = 4 * time.Second
	settleDuration      = 2 * time.Second
	callersPerWorkspace = 120 // several times the pool's 32 places
)

func (h *harness) smallOptions() lab.Options {
	return lab.Options{TokenInterval: 10 * time.Millisecond, Prefill: 20 * time.Millisecond, Config: h.root + "/test/bench/small"}
}

func splitPlaces(s *settings.Settings) { s.PlacesPolicy = settings.PlacesSplit }

// shares measures how places are divided between two workspaces with shares 3:1 that always have requests waiting, how unused places
// are lent, and how a flood from one workspace affects the other.
func shares(h *harness) ([]result, error) {
	var rows []result
	for _, skew := range []int{0, 50, 100} {
		base, err := h.shareRatio(skew, splitPlaces)
		if err != nil {
			return nil, err
		}
		ours, err := h.shareRatio(skew)
		if err != nil {
			return nil, err
		}
		rows = append(rows, result{fmt.Sprintf("answers 3:1 at skew %d:%d", skew, 100-skew), "ratio", base, ours, "3 +-5%", math.Abs(ours/3-1) <= 0.05})
	}
	lendingRows, err := h.lending()
	if err != nil {
		return nil, err
	}
	floodRows, err := h.flood()
	return append(rows, append(lendingRows, floodRows...)...), err
}

// shareRatio returns the ratio of the tokens generated for donors to those for pledges. skew percent of donors' callers and
// 100-skew percent of pledges' callers use the first node; the others use the second.
func (h *harness) shareRatio(skew int, tunes ...lab.SettingsOption) (float64, error) {
	l, nodes, err := h.start(h.smallOptions(), 2, 4, tunes...)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	var donors, pledges atomic.Int64
	end := time.Now().Add(settleDuration + shareDuration)
	from := time.Now().Add(settleDuration)
	var all sync.WaitGroup
	for i := range callersPerWorkspace {
		first, second := nodes[0], nodes[1]
		if i >= callersPerWorkspace*skew/100 {
			first, second = second, first
		}
		all.Go(func() { sendUntil("donors", first, end, from, &donors) })
		all.Go(func() { sendUntil("pledges", second, end, from, &pledges) })
	}
	all.Wait()
	return float64(donors.Load()) / float64(pledges.Load()), nil
}

// sendUntil requests completions one after another until end and counts the events that arrive between from and end.
func sendUntil(workspace string, n *lab.Node, end, from time.Time, count *atomic.Int64) {
	c := lab.NewCaller(workspace + "-caller-token")
	for time.Now().Before(end) {
		reply := c.Complete(n.Settings.CallerAddress, lab.Completion{Model: lettersModel, Prompt: "p", Tokens: 20, OnEvent: func(int) error {
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

// lending measures how much of the pool one workspace uses alone, and whether the other one has its share again 1.2 s after it resumes.
func (h *harness) lending() ([]result, error) {
	full, err := h.poolCapacity()
	if err != nil {
		return nil, err
	}
	var usage [2]float64
	var ratio [2]float64
	for i, tunes := range [][]lab.SettingsOption{{splitPlaces}, nil} {
		l, nodes, err := h.start(h.smallOptions(), 2, 4, tunes...)
		if err != nil {
			return nil, err
		}
		var lender, borrower, lateBorrower atomic.Int64
		start := time.Now()
		middle, end := start.Add(settleDuration+shareDuration), start.Add(settleDuration+2*shareDuration)
		var all sync.WaitGroup
		for range callersPerWorkspace {
			all.Go(func() { sendUntil("pledges", nodes[0], end, start.Add(settleDuration), &borrower) })
			all.Go(func() {
				time.Sleep(time.Until(middle))
				sendUntil("donors", nodes[1], end, middle.Add(1200*time.Millisecond), &lender)
			})
		}
		time.Sleep(time.Until(middle))
		usage[i] = float64(borrower.Load()) / shareDuration.Seconds() / full
		time.Sleep(time.Until(middle.Add(1200 * time.Millisecond)))
		before := borrower.Load()
		all.Wait()
		lateBorrower.Store(borrower.Load() - before)
		ratio[i] = float64(lender.Load()) / float64(lateBorrower.Load())
		l.Close()
	}
	return []result{
		{"pool used by one workspace alone", "part", usage[0], usage[1], ">0.95", usage[1] > 0.95},
		{"ratio from 1.2 s after the lender's return", "ratio", ratio[0], ratio[1], "3 +-5%", math.Abs(ratio[1]/3-1) <= 0.05},
	}, nil
}

// poolCapacity returns the events per second of the pool when 8 callers keep each of its 4 engines busy without a node in between.
func (h *harness) poolCapacity() (float64, error) {
	l, _, err := h.start(h.smallOptions(), 1, 4)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	s, err := l.Status()
	if err != nil {
		return 0, err
	}
	var events atomic.Int64
	end := time.Now().Add(shareDuration)
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
	return float64(events.Load()) / shareDuration.Seconds(), nil
}

// flood measures the p99 time to first token of one workspace at half its share, alone and during a flood from another workspace.
func (h *harness) flood() ([]result, error) {
	var p99 [2]float64
	for i, flooded := range []bool{false, true} {
		l, nodes, err := h.start(h.smallOptions(), 2, 4)
		if err != nil {
			return nil, err
		}
		lat := newLatencies()
		stop := time.Now().Add(settleDuration + 2*shareDuration)
		from := time.Now().Add(settleDuration)
		var all sync.WaitGroup
		if flooded {
			for j := range 640 { // 20 times the 32 places
				all.Go(func() { sendUntil("pledges", nodes[j%2], stop, stop, new(atomic.Int64)) })
			}
		}
		donors := lab.NewCaller("donors-caller-token")
		// The share of donors is 24 places; half of it is 12 concurrent requests of 0.21 s each.
		openLoop(12/0.21, settleDuration+2*shareDuration, func(n int) {
			reply := donors.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: lettersModel, Prompt: "q", Tokens: 20})
			if reply.Complete && time.Now().After(from) {
				lat.add(reply.FirstToken)
			}
		})
		all.Wait()
		p99[i] = lat.percentileMS(99)
		l.Close()
	}
	return []result{{"p99 first token beside a 20-fold flood", "ms", p99[0], p99[1], "<=1.1x", p99[1] <= 1.1*p99[0]}}, nil
}
