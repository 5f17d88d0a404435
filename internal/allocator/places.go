package allocator

// Places is a number of places of one group.
type Places struct {
	Group string
	Birth int64
	Count int
}
