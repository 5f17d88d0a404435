package replica

import "moorrun.dev/moorrun/internal/config"

// MayRoll reports whether g may be drained for a new version. This requires that all groups of its model are serving,
// that without g the model is at most one group below its minimum, and that g is the outdated group with the
// lowest id, so that the lease holders of two data centres do not drain one each. A model's only group may be
// drained.
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
