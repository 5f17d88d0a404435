// Package adminapi defines the paths and messages of the administration API, which moorrund and the command line share.
package adminapi

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
