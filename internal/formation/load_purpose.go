package formation

// LoadPurpose is what a model is loaded for.
type LoadPurpose string

const (
	// LoadForGroup means that a domain lacks the copy for a group of a model in need.
	LoadForGroup LoadPurpose = "group"
	// LoadFirst means that a free endpoint has no model.
	LoadFirst LoadPurpose = "first"
	// LoadSecond means that the endpoint has only one model.
	LoadSecond LoadPurpose = "second"
	// LoadFound means that an earlier leader ordered the load.
	LoadFound LoadPurpose = "found"
)

// LoadPurposes lists all purposes.
var LoadPurposes = []LoadPurpose{LoadForGroup, LoadFirst, LoadSecond, LoadFound}

// countLoads counts the loads in progress by purpose.
func (p *Planner) countLoads() map[LoadPurpose]int {
	out := make(map[LoadPurpose]int, len(LoadPurposes))
	for _, s := range p.stagings {
		out[s.purpose]++
	}
	return out
}
