package adminapi

// Endpoint is the status of one endpoint of a plain service.
type Endpoint struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Address   string `json:"address"`
	Drained   bool   `json:"drained,omitempty"`
}
