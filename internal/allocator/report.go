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

// Demand is one workspace's part of a Report.
type Demand struct {
	Workspace string
	Waiting   int
	Reserve   int // places it lately needed beyond those, kept for it within its share
	Spare     int // places it would like beyond those, to start requests without asking
	Running   []Places
	Wishes    []Places // groups that some of the waiting requests prefer
}

// Places is a number of places of one group.
type Places struct {
	Group string
	Birth int64
	Count int
}

// Grant is the answer to a Report: the places each workspace may use at that node.
type Grant struct {
	Number     uint64
	Workspaces []WorkspaceGrant
}

// WorkspaceGrant is one workspace's part of a Grant.
type WorkspaceGrant struct {
	Workspace string
	Limits    []Places
}
