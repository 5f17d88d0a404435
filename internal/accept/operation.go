package accept

// Operation is an accepted apply request.
type Operation struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	By       string `json:"by"`
}
