package allocator

import "time"

// Grant is the answer to a Report: the places each workspace may use at that node.
type Grant struct {
	Number     uint64
	Interval   time.Duration // report again after it, or sooner when a request waits
	Workspaces []WorkspaceGrant
}

// WorkspaceGrant is one workspace's part of a Grant.
type WorkspaceGrant struct {
	Workspace string
	Limits    []Places
}
