package adminapi

// Problem is the response body of a request that failed or was refused.
type Problem struct {
	Error string `json:"error"`
}
