package config

// Share is a workspace's weight in the division of places and accelerators.
type Share struct {
	Workspace string `json:"workspace"`
	Share     int    `json:"share"`
}
