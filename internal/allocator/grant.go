package allocator

import "time"

// Grant is the reply to a Report: the places that each workspace may use at that node.
type Grant struct {
	Number     uint64
	Interval   time.Duration // time until the node's next report; the node reports sooner when a request waits
	Workspaces []WorkspaceGrant
}

// WorkspaceGrant lists the places that one workspace may use, by group.
type WorkspaceGrant struct {
	Workspace string
	Limits    []Places
}
