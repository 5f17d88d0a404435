package adminapi

// Node is the status of one moorrund process.
type Node struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	Revision      int64  `json:"revision"`
	Draining      bool   `json:"draining"`
	HeardMS       int64  `json:"heard_ms"` // time since the process was last known to be alive
}
