package replica

// Warm is a free VM that holds a model's weights, so that it can replace a lost VM of a group without a reload.
type Warm struct {
	VM      string `json:"vm"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// minLoadsForSpare is the number of loads that must still be allowed for a load to be spent on a spare.
const minLoadsForSpare = 4

// assignSpares assigns to each free VM a model whose weights it should hold: the one with the most groups per
// spare.
func (pl *planner) assignSpares() {
	free := pl.freeVMs()
	kept := make([]Warm, 0, len(free))
	spares := make(map[string]int)
	var cold []string
	for _, vm := range free {
		w, ok := pl.validSpare(vm)
		if !ok {
			cold = append(cold, vm)
			continue
		}
		kept = append(kept, w)
		spares[w.Model]++
	}
	for _, vm := range cold {
		model := pl.modelMostShortOfSpares(spares)
		if model == "" || pl.loads < minLoadsForSpare {
			break
		}
		pl.loads--
		spares[model]++
		kept = append(kept, Warm{vm, model, pl.view.Models[model].Version})
		pl.recordChange("", "VM %s holds %s as a spare", vm, model)
	}
	pl.next.Warm = kept
}

// validSpare returns the spare record of the free VM if its version is still the declared one.
func (pl *planner) validSpare(vm string) (Warm, bool) {
	for _, w := range pl.next.Warm {
		if w.VM == vm && pl.view.Models[w.Model].Version == w.Version {
			return w, true
		}
	}
	return Warm{}, false
}

func (pl *planner) modelMostShortOfSpares(spares map[string]int) string {
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

// WarmOn returns the spare record of vm and reports whether there is one.
func (a *Assignment) WarmOn(vm string) (Warm, bool) {
	for _, w := range a.Warm {
		if w.VM == vm {
			return w, true
		}
	}
	return Warm{}, false
}
