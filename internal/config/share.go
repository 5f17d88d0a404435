package config

// Share is a workspace's weight when places and accelerators are divided among workspaces.
type Share struct {
	Workspace string `json:"workspace"`
	Share     int    `json:"share"`
}
