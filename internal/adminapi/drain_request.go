package adminapi

// DrainRequest is a request to take a VM or endpoint out of use, or back into use.
type DrainRequest struct {
	Name      string `json:"name"`
	Drained   bool   `json:"drained"`
	Operation string `json:"operation"`
}
