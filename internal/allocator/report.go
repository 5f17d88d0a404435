package allocator

// Report is one node's demand for one model.
type Report struct {
	VM          string
	Incarnation string
	Grant       uint64 // the last grant in force at the node
	Workspaces  []Demand
	Speeds      []Speed
	Avoid       []Ref // groups that fail at this node; it is granted no places of them
}
