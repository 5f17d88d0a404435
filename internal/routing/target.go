package routing

// Target is a replica group that requests may be sent to.
type Target struct {
	Group     string
	Birth     int64 // generation at which the group's VMs or model last changed
	Domain    string
	Model     string
	Workspace string
	Places    int    // how many requests the group may run at the same time
	Leader    string // address of the engine that takes the requests of the group
}
