package burn

// GroupLosses holds the losses of a workspace from replica groups that were not whole, or those from accelerators in no
// group if the workspace name is empty.
type GroupLosses struct {
	Workspace       string  `json:"workspace"`
	DowntimeSeconds float64 `json:"downtime_s"` // seconds out of use, summed over replica groups
	StrandedSeconds float64 `json:"stranded_s"` // idle seconds, summed over accelerators
}
