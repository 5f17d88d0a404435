package allocator

type groupState struct {
	places     int
	held       int // places held by all nodes and workspaces
	speed      speed
	slow       bool
	minWaiting int // a slow group is used, apart from probes, only while more requests than this wait
}
