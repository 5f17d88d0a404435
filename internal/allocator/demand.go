package allocator

// Demand is one workspace's part of a Report.
type Demand struct {
	Workspace string
	Waiting   int
	Reserve   int // places it lately needed beyond those, kept for it within its share
	Spare     int // places it would like beyond those, to start requests without asking
	Running   []Places
	Wishes    []Places // groups that some of the waiting requests prefer
}
