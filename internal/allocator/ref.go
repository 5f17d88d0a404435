package allocator

// Ref names one life of a group.
type Ref struct {
	Group string
	Birth int64
}
