package routing

// Target is a replica group that requests may be sent to.
type Target struct {
	Group     string
	Birth     int64
	Domain    string
	Model     string
	Workspace string
	Places    int
	Leader    string // address of the engine that answers for the group
}
