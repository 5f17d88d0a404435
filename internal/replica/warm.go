package replica

// Warm is a free VM that holds a model's weights, to take a lost member's place without a reload.
type Warm struct {
	VM      string `json:"vm"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// warmLoads is how many loads must be left over before one goes to a spare.
const warmLoads = 4

// warm gives free VMs a model to hold: the one with most groups for each spare that holds it.
func (pl *planner) warm() {
	free := pl.free()
	kept := make([]Warm, 0, len(free))
	spares := make(map[string]int)
	var cold []string
	for _, vm := range free {
		w, ok := pl.warmOf(vm)
		if !ok {
			cold = append(cold, vm)
			continue
		}
		kept = append(kept, w)
		spares[w.Model]++
	}
	for _, vm := range cold {
		model := pl.neediestOfSpares(spares)
		if model == "" || pl.loads < warmLoads {
			break
		}
		pl.loads--
		spares[model]++
		kept = append(kept, Warm{vm, model, pl.view.Models[model].Version})
		pl.note("", "VM %s holds %s as a spare", vm, model)
	}
	pl.next.Warm = kept
}

// warmOf returns what the free VM holds as a spare, if that is still worth holding.
func (pl *planner) warmOf(vm string) (Warm, bool) {
	for _, w := range pl.next.Warm {
		if w.VM == vm && pl.view.Models[w.Model].Version == w.Version {
			return w, true
		}
	}
	return Warm{}, false
}

func (pl *planner) neediestOfSpares(spares map[string]int) string {
	groups := make(map[string]int)
	for _, g := range pl.next.Groups {
		if _, declared := pl.view.Models[g.Model]; declared && g.State != Draining {
			groups[g.Model]++
		}
	}
	best := ""
	for model, n := range groups {
		if best == "" || n*(spares[best]+1) > groups[best]*(spares[model]+1) ||
			n*(spares[best]+1) == groups[best]*(spares[model]+1) && model < best {
			best = model
		}
	}
	return best
}

// WarmOn returns what a VM holds as a spare.
func (a *Assignment) WarmOn(vm string) (Warm, bool) {
	for _, w := range a.Warm {
		if w.VM == vm {
			return w, true
		}
	}
	return Warm{}, false
}
