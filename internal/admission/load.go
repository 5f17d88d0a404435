package admission

// Load is what one workspace has at this node for one model.
type Load struct {
	Model     string `json:"model"`
	Workspace string `json:"workspace"`
	Waiting   int    `json:"waiting"`
	Running   int    `json:"running"`
	Held      int    `json:"held"` // places it may use
}
