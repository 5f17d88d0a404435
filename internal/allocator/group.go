package allocator

// Group is a replica group whose places are allocated.
type Group struct {
	ID     string
	Birth  int64 // generation at which the group's VMs or model last changed; 0 for an endpoint
	Places int   // maximum number of concurrent requests; 0 while routers must not use the group
}

// groupKey identifies one generation of a group, since a group ID may be used again.
type groupKey struct {
	id    string
	birth int64
}
