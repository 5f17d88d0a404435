package route

// Workspace is a group of callers that share credentials, a priority and a share of the capacity.
type Workspace struct {
	Name        string
	Priority    int
	HasPriority bool // whether Priority overrides that of the route
}
