package allocator

// Group is a replica group whose places are allocated.
type Group struct {
	ID     string
	Birth  int64
	Places int // maximum number of concurrent requests; 0 while routers must not use the group
}

// groupKey identifies one generation of a group, since a group ID may be used again.
type groupKey struct {
	id    string
	birth int64
}
