package adminapi

// VM is the status of one engine VM.
type VM struct {
	Name       string `json:"name"`
	Domain     string `json:"domain"`
	DataCentre string `json:"data_centre"`
	Group      string `json:"group,omitempty"`
	Drained    bool   `json:"drained,omitempty"`
}
