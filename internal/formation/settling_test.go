package formation

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlansSettleOnceDemandHas gives several domains any steady demand, loses some endpoints, and checks that groups
// stop changing their model, that no load is begun beyond the weight store's rate, and that what is free in the end
// could not serve a model that is pressed.
func TestPlansSettleOnceDemandHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(0, t.Fatalf)
		w.domainSize = rapid.IntRange(5, 9).Draw(t, "domain")
		for range w.domainSize * rapid.IntRange(2, 4).Draw(t, "domains") {
			w.add()
		}
		p := NewPlanner(1, origin)
		settleFor(w, p, 8*time.Second)
		w.busy = true
		w.demand = map[string]int{"big": rapid.IntRange(0, 60).Draw(t, "big"), "small": rapid.IntRange(0, 60).Draw(t, "small")}
		conversions, loads := 0, []time.Time{}
		p.Note = func(event, _ string, pairs ...any) {
			switch {
			case event == "group retires" && strings.Contains(pairs[1].(string), "needs its members"):
				conversions++
			case event == "model staged":
				loads = append(loads, w.now)
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "lost") {
			x := w.workers[sorted(ids(w))[rapid.IntRange(0, len(w.workers)-1).Draw(t, "who")]]
			if x.up {
				x.up, x.lostAt = false, w.now
			}
			settleFor(w, p, 2*time.Second)
		}
		settleFor(w, p, 20*time.Second)
		conversions = 0
		settleFor(w, p, 10*time.Second)
		if conversions > 0 {
			t.Fatalf("%d groups still change their model", conversions)
		}
		checkRate(t, loads, w.service.Engine.LoadsPerSecond)
		checkIdle(t, w, p)
	})
}

func ids(w *world) []string {
	var out []string
	for id := range w.workers {
		out = append(out, id)
	}
	return out
}

// checkRate fails if more loads begin in any second than the weight store allows.
func checkRate(t *rapid.T, loads []time.Time, most float64) {
	for i := range loads {
		n := 0
		for _, at := range loads[i:] {
			if at.Sub(loads[i]) < time.Second {
				n++
			}
		}
		if float64(n) > most {
			t.Fatalf("%d loads in a second", n)
		}
	}
}

// checkIdle fails if a model waits for places while free endpoints of one domain hold it and could form a group.
func checkIdle(t *rapid.T, w *world, p *Planner) {
	v := w.view(0)
	have := p.assignedEndpoints(v)
	for _, m := range w.service.Engine.Models {
		if p.pressure(v, m, have) < 1 {
			continue
		}
		for domain, list := range p.freeByDomain(v) {
			holding := 0
			for _, e := range list {
				if e.Holds(m.Name) {
					holding++
				}
			}
			if holding >= m.Size {
				t.Fatalf("%d endpoints of %s hold %s and are free while its requests wait", holding, domain, m.Name)
			}
		}
	}
}
