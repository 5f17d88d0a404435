package allocator

// Report is the demand of one node for one model.
type Report struct {
	VM          string
	Incarnation string
	Grant       uint64 // number of the last grant that the node applied
	Workspaces  []Demand
	Speeds      []Speed
	Avoid       []Ref // groups whose requests from this node fail; the node is granted no places of them
}
