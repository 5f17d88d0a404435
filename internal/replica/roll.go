package replica

import "moorrun.dev/moorrun/internal/config"

// MayRoll reports whether g may be taken out for a new version: no other group of its model is on its way
// in or out, the model keeps one group less than its minimum at the least, and g is the first outdated
// one, so that the holders of two data centres do not take one each.
func MayRoll(g *Group, m config.Model, assignments []*Assignment) bool {
	serving, total := 0, 0
	for _, a := range assignments {
		for _, other := range a.Groups {
			if other.Model != g.Model {
				continue
			}
			total++
			if other.State != Serving {
				return false
			}
			serving++
			if !other.current(m) && other.ID < g.ID {
				return false
			}
		}
	}
	return serving-1 >= m.Replicas.Min-1 && (serving > 1 || total == 1)
}
