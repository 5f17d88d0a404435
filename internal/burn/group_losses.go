package burn

// GroupLosses is what a workspace has lost by replica groups that were not whole.
type GroupLosses struct {
	Workspace       string  `json:"workspace"`
	DowntimeSeconds float64 `json:"downtime_s"` // replica group seconds out of use
	StrandedSeconds float64 `json:"stranded_s"` // accelerator seconds idle in such groups
}
