package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/replica"
	"moorrun.dev/moorrun/internal/replica/replicatest"
)

// traceEvent is one change of a VM's state in the trace.
type traceEvent struct {
	at     time.Duration
	vm     string
	change func(*replicatest.VM)
}

const (
	traceDuration    = 12 * time.Hour
	traceVMs         = 26 // six groups of 4 and 2 spares
	reloadDuration   = 30 * time.Second
	replacementDelay = 10 * time.Minute // until the platform replaces a lost VM
)

// newTrace returns VM losses, short pauses, planned removals and the loss of a rack. The trace is the same for every rule.
func newTrace() []traceEvent {
	r := rand.New(rand.NewPCG(7, 7)) //nolint:gosec // fixed seed for reproducibility
	var out []traceEvent
	vm := func() string { return fmt.Sprint("vm", r.IntN(traceVMs)) }
	randomTime := func() time.Duration { return time.Duration(r.Int64N(int64(traceDuration))) }
	addOutage := func(name string, at, length time.Duration, lost bool) {
		out = append(out, traceEvent{at, name, func(v *replicatest.VM) { v.Silent = true }},
			traceEvent{at + length, name, func(v *replicatest.VM) {
				v.Silent = false
				if lost {
					v.View.State.Model = "" // the replacement holds no weights
				}
			}})
	}
	for range 60 {
		addOutage(vm(), randomTime(), 2*time.Second+time.Duration(r.ExpFloat64()*float64(6*time.Second)), false)
	}
	for range 12 {
		addOutage(vm(), randomTime(), replacementDelay, true)
	}
	for range 6 {
		name, at := vm(), randomTime()
		out = append(out, traceEvent{at, name, func(v *replicatest.VM) { v.Leaving = true }},
			traceEvent{at + replacementDelay, name, func(v *replicatest.VM) { v.Leaving = false; v.View.State.Model = "" }})
	}
	rack := randomTime()
	for i := range 4 { // one VM each of several groups
		addOutage(fmt.Sprint("vm", 1+5*i), rack, replacementDelay, true)
	}
	return out
}

// simulateTrace runs the trace under a rule and prices. It returns the seconds of downtime and the stranded accelerator-seconds.
func simulateTrace(rule replica.WaitRule, prices config.Prices) (downtime, stranded float64) {
	d := replicatest.New(traceVMs, reloadDuration, replicatest.Model("m", "1", 4, 6, 6))
	d.Policy.Wait, d.Prices = rule, prices
	d.Run(time.Minute)
	d.Downtime, d.Stranded = 0, 0
	start := d.Now
	events := newTrace()
	for d.Now.Sub(start) < traceDuration {
		for i := range events {
			if e := &events[i]; e.change != nil && d.Now.Sub(start) >= e.at {
				e.change(d.VMs[e.vm])
				e.change = nil
			}
		}
		d.Step(500 * time.Millisecond)
	}
	return d.Downtime.Seconds(), d.Stranded.Seconds()
}

// groupLosses compares the cost of one trace with that of two baselines, at the prices of each of the two users.
func groupLosses(*harness) ([]result, error) {
	var rows []result
	for _, user := range []struct {
		name   string
		prices config.Prices
	}{
		{"Gjafabru", config.Prices{DowntimeSecond: 50, StrandedSecond: 1}},
		{"Ikenga", config.Prices{DowntimeSecond: 5, StrandedSecond: 5}},
	} {
		costOf := func(rule replica.WaitRule) (cost, downtime, stranded float64) {
			downtime, stranded = simulateTrace(rule, user.prices)
			return downtime*user.prices.DowntimeSecond + stranded*user.prices.StrandedSecond, downtime, stranded
		}
		ours, downtime, stranded := costOf(replica.WaitLearned)
		for _, base := range []struct {
			name string
			rule replica.WaitRule
		}{{"always wait", replica.WaitAlways}, {"break at once", replica.BreakAtOnce}} {
			cost, baseDowntime, baseStranded := costOf(base.rule)
			rows = append(rows,
				result{user.name + " cost, to " + base.name, "price", cost, ours, "<1x", ours < cost},
				result{user.name + " downtime, to " + base.name, "s", baseDowntime, downtime, "-", true},
				result{user.name + " stranded, to " + base.name, "s", baseStranded, stranded, "-", true})
		}
	}
	return rows, nil
}
