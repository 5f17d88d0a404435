package allocator

// Group is a replica group as the allocator sees it.
type Group struct {
	ID     string
	Birth  int64
	Places int // requests it runs at a time; 0 while routers may not use it
}

// groupKey names one life of a group.
type groupKey struct {
	id    string
	birth int64
}
