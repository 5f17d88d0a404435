package accept

// Operation is one accepted apply.
type Operation struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	By       string `json:"by"`
}
