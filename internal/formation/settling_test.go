package formation

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConversionsStopUnderSteadyDemand gives several domains a random steady demand and loses some endpoints. It checks
// that groups stop changing their model, that loads stay within the weight store's rate, and that in the end no free
// endpoints could serve a model under pressure.
func TestConversionsStopUnderSteadyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(0, t.Fatalf)
		w.domainSize = rapid.IntRange(5, 9).Draw(t, "domain")
		for range w.domainSize * rapid.IntRange(2, 4).Draw(t, "domains") {
			w.add()
		}
		p := NewPlanner(1, origin)
		runFor(w, p, 8*time.Second)
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
			x := w.endpoints[sorted(ids(w))[rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "who")]]
			if x.up {
				x.up, x.lostAt = false, w.now
			}
			runFor(w, p, 2*time.Second)
		}
		runFor(w, p, 20*time.Second)
		conversions = 0
		runFor(w, p, 10*time.Second)
		if conversions > 0 {
			t.Fatalf("%d groups still change their model", conversions)
		}
		checkLoadRate(t, loads, w.service.Engine.LoadsPerSecond)
		checkNoIdleCapacity(t, w, p)
	})
}

func ids(w *simulation) []string {
	var out []string
	for id := range w.endpoints {
		out = append(out, id)
	}
	return out
}

// checkLoadRate fails if more loads start within a second than the weight store allows.
func checkLoadRate(t *rapid.T, loads []time.Time, most float64) {
	for i := range loads {
		n := 0
		for _, at := range loads[i:] {
			if at.Sub(loads[i]) < time.Second {
				n++
			}
		}
		if float64(n) > most {
			t.Fatalf("%d loads started within a second", n)
		}
	}
}

// checkNoIdleCapacity fails if requests of a model wait while enough free endpoints of one domain hold it to form a
// group.
func checkNoIdleCapacity(t *rapid.T, w *simulation, p *Planner) {
	v := w.view(0)
	have := p.assignedEndpoints(v)
	for _, m := range w.service.Engine.Models {
		if p.pressure(v, m, have) < 1 {
			continue
		}
		for domain, list := range p.freeByDomain(v) {
			holding := 0
			for _, e := range list {
				if e.HasLoaded(m.Name) {
					holding++
				}
			}
			if holding >= m.Size {
				t.Fatalf("%d endpoints of %s hold %s and are free while its requests wait", holding, domain, m.Name)
			}
		}
	}
}
