package accept

// PartRef points to one part of the configuration in force.
type PartRef struct {
	Key      string `json:"key"`      // object that holds the part
	Hash     string `json:"hash"`     // SHA-256 of its content
	Revision int64  `json:"revision"` // at which it last changed
}
