// Package adminapi holds the messages of the administration API, shared by moorrund and the command line.
package adminapi

import (
	"encoding/json"

	"moorrun.dev/moorrun/internal/admission"
	"moorrun.dev/moorrun/internal/replica"
)

// Paths of the administration API.
const (
	PathRevision      = "/admin/v1/revision"
	PathConfiguration = "/admin/v1/configuration"
	PathApply         = "/admin/v1/apply"
	PathOperation     = "/admin/v1/operations/"
	PathStatus        = "/admin/v1/status"
	PathInForce       = "/admin/v1/in-force"
	PathDrain         = "/admin/v1/drain"
	PathBurn          = "/admin/v1/burn"
)

// ApplyRequest asks to accept a set of files.
type ApplyRequest struct {
	Operation string                     `json:"operation"` // unique; the same when sent again
	Base      int64                      `json:"base"`      // revision the files were drawn from
	Files     map[string]json.RawMessage `json:"files"`     // by file name
	Remove    []string                   `json:"remove,omitempty"`
	DryRun    bool                       `json:"dry_run,omitempty"`
}

// Revision is the accepted configuration and the one in force at the node that answers.
type Revision struct {
	Accepted int64 `json:"accepted"`
	InForce  int64 `json:"in_force"`
}

// Configuration is the part of the accepted configuration that the operator may change.
type Configuration struct {
	Revision int64                      `json:"revision"`
	Parts    map[string]json.RawMessage `json:"parts"`
}

// InForce says where a revision is in force.
type InForce struct {
	Nodes []NodeRevision `json:"nodes"`
}

// NodeRevision is the revision in force at one node.
type NodeRevision struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Revision   int64  `json:"revision"`
	Live       bool   `json:"live"`
}

// DrainRequest takes a VM or endpoint out of use, or back into use.
type DrainRequest struct {
	Name      string `json:"name"`
	Drained   bool   `json:"drained"`
	Operation string `json:"operation"`
}

// Status is what one node knows.
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

// Node is one moorrund process.
type Node struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	Revision      int64  `json:"revision"`
	Draining      bool   `json:"draining"`
	HeardMS       int64  `json:"heard_ms"` // since it was last certainly alive
}

// Group is one replica group.
type Group struct {
	ID         string        `json:"id"`
	Domain     string        `json:"domain"`
	DataCentre string        `json:"data_centre"`
	Workspace  string        `json:"workspace"`
	Model      string        `json:"model"`
	Version    string        `json:"version"`
	State      replica.State `json:"state"`
	Usable     bool          `json:"usable"` // routers may use it now
	VMs        []string      `json:"vms"`
	Places     int           `json:"places"`
	Reason     string        `json:"reason,omitempty"`
}

// VM is one engine VM.
type VM struct {
	Name       string `json:"name"`
	Domain     string `json:"domain"`
	DataCentre string `json:"data_centre"`
	Group      string `json:"group,omitempty"`
	Drained    bool   `json:"drained,omitempty"`
}

// Endpoint is one endpoint of a plain service.
type Endpoint struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Address   string `json:"address"`
	Drained   bool   `json:"drained,omitempty"`
}

// Problem is the body of a refused request.
type Problem struct {
	Error string `json:"error"`
}
