package allocator

// Places is a number of places of one group. One place lets one request run on the group.
type Places struct {
	Group string
	Birth int64
	Count int
}
