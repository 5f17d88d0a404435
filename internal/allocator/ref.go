package allocator

// Ref identifies one generation of a group, since a group ID may be used again.
type Ref struct {
	Group string
	Birth int64
}
