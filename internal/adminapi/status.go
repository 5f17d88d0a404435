package adminapi

import (
	"moorrun.dev/moorrun/internal/admission"
)

// Status is the state of the fleet as seen by one node.
type Status struct {
	VM         string           `json:"vm"`
	Revision   int64            `json:"revision"`
	Nodes      []Node           `json:"nodes"`
	Groups     []Group          `json:"groups"`
	VMs        []VM             `json:"vms"`
	Workspaces []admission.Load `json:"workspaces"`
	Endpoints  []Endpoint       `json:"endpoints"`
	Checks     int64            `json:"invariant_checks"`
	Breaches   int64            `json:"invariant_breaches"`
}
