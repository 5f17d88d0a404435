package allocator

// Demand is the demand of one workspace in a Report. Waiting counts requests; Reserve and Spare count places.
type Demand struct {
	Workspace string
	Waiting   int
	Reserve   int // places needed recently beyond those waiting and running; kept for the workspace, within its share
	Spare     int // further places requested, so that new requests can start without a new grant
	Running   []Places
	Preferred []Places // number of waiting requests that prefer each group
}
