package admission

// Load holds the requests and places of one workspace for one model at this node.
type Load struct {
	Model     string `json:"model"`
	Workspace string `json:"workspace"`
	Waiting   int    `json:"waiting"`
	Running   int    `json:"running"`
	Held      int    `json:"held"` // places that the workspace may use
}
