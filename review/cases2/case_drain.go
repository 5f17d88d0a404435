package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	drainRounds  = 10
	drainCut     = 5500 * time.Millisecond // how long the machine is cut off from the store
	drainRemoval = 2 * time.Second         // from the start of the cut until the worker's entry goes
	drainBound   = 2 * time.Second         // drain_ms
	contact      = 3 * time.Second         // contact_ms
	drainEnd     = 250 * time.Millisecond  // from the moment at which the machine is in touch until the worker ends
	drainRate    = 200                     // requests a second
)

// departure is a worker that has left.
type departure struct {
	worker                  string
	removed, inTouch, ended time.Time // the removal of its entry was acknowledged; the machine is in touch; the worker has ended
}

// playDrain takes workers away that never say that they leave, while the machine is cut off from the store.
func playDrain(c *caseRun) ([]string, error) {
	runs := &executions{}
	workers := 0
	add := func() (*plainWorker, error) {
		workers++
		w, err := startPlainWorker(c.store, runs, fmt.Sprintf("i-%08x", 0x7f3a91c2+workers), "portal", 30*time.Millisecond)
		if err == nil {
			c.closers = append(c.closers, w.end)
		}
		return w, err
	}
	var list []*plainWorker
	for range 3 {
		w, err := add()
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	config := proofConfig(1, "key-0")
	route := config["routes"].([]map[string]any)[0]
	route["route_kind"], route["max_attempts"], route["timeout_ms"] = "non_idempotent", 1, 1000
	c.store.put("config", "main", config)
	m, g, err := c.startMachines()
	if err != nil {
		return nil, err
	}
	users := newClient("ficu95.example")
	l := startLoad(drainRate, func() attempt { return users.send(m.front, http.MethodPost, "/puxa403/1", "key-0", time.Second) })
	var gone []*departure
	for range drainRounds {
		began := time.Now()
		if c.trouble {
			g.link.cut()
			c.note("%s is cut off from the store", m.name)
		}
		time.Sleep(time.Until(began.Add(drainRemoval)))
		w, err := add() // the new one starts first
		if err != nil {
			return nil, err
		}
		old := list[0]
		list = append(list[1:], w)
		c.store.remove("servers", old.id)
		d := &departure{worker: old.id, removed: time.Now(), inTouch: began.Add(drainCut + contact)}
		gone = append(gone, d)
		c.note("the store has acknowledged that the entry of %s is removed; it serves on", old.id)
		time.Sleep(time.Until(began.Add(drainCut)))
		if c.trouble {
			g.link.heal()
			d.inTouch = time.Now().Add(contact)
			c.note("%s reaches the store again", m.name)
		}
		time.Sleep(time.Until(d.inTouch.Add(drainEnd)))
		d.ended = time.Now()
		old.end()
		c.note("%s ends, %.3f s after its entry was removed", old.id, d.ended.Sub(d.removed).Seconds())
		time.Sleep(time.Until(d.inTouch.Add(1500 * time.Millisecond)))
	}
	return judgeDrain(c, l.end(), runs.all(), gone), nil
}

// judgeDrain returns the workers that requests reached later than the bound after their entry was removed, although a machine in touch
// had taken them.
func judgeDrain(c *caseRun, attempts []attempt, runs []execution, gone []*departure) []string {
	c.requests(attempts, runs, func(_ attempt, e execution) bool {
		return slices.ContainsFunc(gone, func(d *departure) bool { return d.worker == e.worker && e.at.Sub(d.removed) > drainBound })
	})
	sent := make(map[string]attempt)
	for _, a := range attempts {
		sent[a.id] = a
	}
	var breaches []string
	for _, d := range gone {
		var last time.Time
		late, lost := 0, 0
		for _, e := range runs {
			if e.worker != d.worker {
				continue
			}
			if e.at.After(last) {
				last = e.at
			}
			if a := sent[e.attempt]; a.sent.After(d.inTouch) && e.at.Sub(d.removed) > drainBound {
				late++
				if a.status != http.StatusOK {
					lost++
				}
			}
		}
		c.note("the last request reached %s %.3f s after the removal of its entry, %.3f s after the machine was in touch", d.worker, last.Sub(d.removed).Seconds(), last.Sub(d.inTouch).Seconds())
		if late > 0 {
			breaches = append(breaches, fmt.Sprintf("DRAIN: %d requests, taken by a machine in touch, reached %s later than %s after the store had acknowledged its leaving; %d of them ran and were lost when it ended",
				late, d.worker, drainBound, lost))
		}
	}
	return breaches
}
