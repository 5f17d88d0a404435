package adminapi

import (
	"moorrun.dev/moorrun/internal/replica"
)

// Group is the status of one replica group.
type Group struct {
	ID         string        `json:"id"`
	Domain     string        `json:"domain"`
	DataCentre string        `json:"data_centre"`
	Workspace  string        `json:"workspace"`
	Model      string        `json:"model"`
	Version    string        `json:"version"`
	State      replica.State `json:"state"`
	Usable     bool          `json:"usable"` // routers may send requests to it now
	VMs        []string      `json:"vms"`
	Places     int           `json:"places"`
	Reason     string        `json:"reason,omitempty"`
}
