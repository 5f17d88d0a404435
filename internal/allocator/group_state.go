package allocator

type groupState struct {
	places     int
	held       int // by all nodes and workspaces
	speed      speed
	slow       bool
	worthwhile int // how many requests must wait before a slow group is used
}
