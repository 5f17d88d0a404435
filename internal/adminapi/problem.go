package adminapi

// Problem is the body of a refused request.
type Problem struct {
	Error string `json:"error"`
}
