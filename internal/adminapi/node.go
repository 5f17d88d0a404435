package adminapi

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
