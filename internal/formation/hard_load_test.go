package formation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// hardLoad simulates the load of docs/design/hard-load.md: endpoints in domains of 37, two models, waves of 15 s, and
// every 3 s two or three members lost and as many empty endpoints added.
type hardLoad struct {
	*simulation
	planner  *Planner
	random   *rand.Rand
	slots    int
	mean     map[string]float64 // mean requests by model
	lossEach time.Duration      // interval between losses and additions; 0 for none
	lastLoss time.Time

	addedAt             map[string]time.Time // empty endpoints without a load, by ID
	waits               []time.Duration      // from the addition of an empty endpoint to the order of its first model
	conversions         int
	urgent, speculative int     // loads ordered
	demanded, served    float64 // request-seconds
	mostLoads           int     // most loads in progress at once

	urgentWaiting        time.Duration // time with an urgent load that a limit kept waiting
	blockingSeconds      float64       // speculative loads in progress during that time, times its length
	startedBesideWaiting int           // steps that started a speculative load while an urgent one waited
	afterStep            func()        // called after each step of the planner, before its orders arrive; may be nil
	withoutLosses        bool          // empty endpoints are added and no members are lost
	overloaded           time.Duration // time in which a model had more requests than places
	freeOverloaded       time.Duration // sum over the free endpoints of that time
}

const (
	hardLoadDomains = 6
	hardLoadDomain  = 37
)

func hardLoadService() *route.Service {
	return &route.Service{Name: "lm", Engine: &route.Engine{
		Slots: 30, LoadsPerSecond: 18, LoadsAtOnce: 27,
		Models: []route.Model{
			{Name: "big", Size: 16, Share: 0.5, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 4, Share: 0.5, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}}
}

// newHardLoad returns the simulation after the start of the fleet, when the first requests arrive. No endpoint has a
// second model, as after many conversions, so that there is always a speculative load to order.
func newHardLoad(seed uint64, fail func(string, ...any)) *hardLoad {
	w := newSimulation(0, fail)
	w.service, w.timed, w.demand = hardLoadService(), true, make(map[string]int)
	h := &hardLoad{
		simulation: w, random: rand.New(rand.NewPCG(seed, 1)), slots: 30, lossEach: 3 * time.Second,
		mean: map[string]float64{"big": 100, "small": 330}, addedAt: make(map[string]time.Time),
	}
	for i := range hardLoadDomains * hardLoadDomain {
		h.addTo(fmt.Sprint("d", i/hardLoadDomain))
	}
	clear(h.addedAt)
	h.newLeader(1)
	runFor(w, h.planner, 10*time.Second)
	w.busy = true
	h.urgent, h.speculative = 0, 0
	for _, x := range h.endpoints {
		x.Staged = nil
		x.Revision++
	}
	return h
}

// newLeader replaces the planner.
func (h *hardLoad) newLeader(tenure int64) {
	h.planner = NewPlanner(tenure, h.now)
	h.planner.Note = func(event, _ string, pairs ...any) {
		switch event {
		case "model staged":
			id, _ := pairs[1].(string)
			if at, waiting := h.addedAt[id]; waiting {
				h.waits = append(h.waits, h.now.Sub(at))
				delete(h.addedAt, id)
			}
			if pairs[5] == true {
				h.speculative++
			} else {
				h.urgent++
			}
		case "group retires":
			if reason := fmt.Sprint(pairs[1]); len(reason) > 5 && reason[:5] == "model" {
				h.conversions++
			}
		}
	}
}

func (h *hardLoad) addTo(domain string) string {
	h.created++
	id := fmt.Sprintf("w%04d", h.created)
	h.endpoints[id] = &fakeEndpoint{up: true, Endpoint: endpoint.Endpoint{ID: id, Service: "lm", Domain: domain, Address: id}}
	h.addedAt[id] = h.now
	return id
}

// run simulates the given time.
func (h *hardLoad) run(d time.Duration) {
	start := h.now
	for h.now.Sub(start) < d {
		h.advance(tick)
		h.history = h.history[len(h.history)-1:]
		wave := 1 + 0.5*math.Sin(2*math.Pi*h.now.Sub(origin).Seconds()/15)
		for model, mean := range h.mean {
			h.demand[model] = int(mean * wave)
		}
		if h.lossEach > 0 && h.now.Sub(h.lastLoss) >= h.lossEach {
			h.lastLoss = h.now
			h.loseAndAdd(2 + h.random.IntN(2))
		}
		before := h.speculative
		h.step(h.planner, 0, deliverNow)
		if h.planner.urgentLoadWaits && h.speculative > before {
			h.startedBesideWaiting++
		}
		if h.afterStep != nil {
			h.afterStep()
		}
		h.deliver()
		h.measure()
	}
}

// loseAndAdd ends that many random members of groups and adds as many empty endpoints to the smallest domains.
func (h *hardLoad) loseAndAdd(n int) {
	var members []string
	up := make(map[string]int)
	for i := range hardLoadDomains {
		up[fmt.Sprint("d", i)] = 0
	}
	for id, x := range h.endpoints {
		if !x.up && h.now.Sub(x.lostAt) > 30*time.Second {
			delete(h.endpoints, id)
			continue
		}
		if x.up {
			up[x.Domain]++
		}
		if x.up && x.Membership != nil {
			members = append(members, id)
		}
	}
	slices.Sort(members)
	for range n {
		if h.withoutLosses {
			break
		}
		x := h.endpoints[members[h.random.IntN(len(members))]]
		if x.up {
			x.up, x.lostAt = false, h.now
			up[x.Domain]--
		}
	}
	for range n {
		smallest := "d0"
		for i := range hardLoadDomains {
			if d := fmt.Sprint("d", i); up[d] < up[smallest] {
				smallest = d
			}
		}
		up[smallest]++
		h.addTo(smallest)
	}
}

// openAndComplete counts the groups that serve, by model.
func (h *hardLoad) openAndComplete() map[string]int {
	out := make(map[string]int)
	for _, x := range h.endpoints {
		m := x.Membership
		if !x.up || m == nil || m.State != endpoint.Open {
			continue
		}
		whole := true
		for _, id := range h.members[key(m.Group, m.Epoch)] {
			other := h.endpoints[id]
			whole = whole && other != nil && other.up
		}
		if whole {
			out[x.Models[0]]++
		}
	}
	return out
}

func (h *hardLoad) measure() {
	open, over := h.openAndComplete(), false
	for model, n := range h.demand {
		places := open[model] * h.slots
		h.demanded += float64(n) * tick.Seconds()
		h.served += float64(min(n, places)) * tick.Seconds()
		over = over || n > places
	}
	if h.planner.urgentLoadWaits {
		h.urgentWaiting += tick
		h.blockingSeconds += float64(h.planner.loadsRunning().speculative) * tick.Seconds()
	}
	loads := 0
	for _, x := range h.endpoints {
		if x.up && x.loading != "" {
			loads++
		}
	}
	h.mostLoads = max(h.mostLoads, loads)
	if !over {
		return
	}
	h.overloaded += tick
	v := h.view(0)
	for _, x := range h.endpoints {
		if x.up && h.planner.isFree(v, &x.Endpoint) {
			h.freeOverloaded += tick
		}
	}
}

// waitStats returns the mean and the longest wait for the order of a first model, in seconds. Endpoints still without
// one count with the time they have waited.
func (h *hardLoad) waitStats() (mean, longest float64) {
	all := slices.Clone(h.waits)
	for id, at := range h.addedAt {
		if x := h.endpoints[id]; x != nil && x.up {
			all = append(all, h.now.Sub(at))
		}
	}
	for _, w := range all {
		mean += w.Seconds() / float64(len(all))
		longest = max(longest, w.Seconds())
	}
	return mean, longest
}

// unserved returns the part of the request-seconds that found no place.
func (h *hardLoad) unserved() float64 { return 1 - h.served/h.demanded }
