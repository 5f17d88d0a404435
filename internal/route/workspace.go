package route

// Workspace is a group of callers with one share.
type Workspace struct {
	Name        string
	Priority    int
	HasPriority bool // Priority replaces that of the routes
}
