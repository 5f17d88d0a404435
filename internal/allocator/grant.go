package allocator

// Grant is the answer to a Report: the places each workspace may use at that node.
type Grant struct {
	Number     uint64
	Workspaces []WorkspaceGrant
}

// WorkspaceGrant is one workspace's part of a Grant.
type WorkspaceGrant struct {
	Workspace string
	Limits    []Places
}
