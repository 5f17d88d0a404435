package accept

// PartRef refers to the stored content of one part of the accepted configuration.
type PartRef struct {
	Key      string `json:"key"`      // key of the object that holds the part's content
	Hash     string `json:"hash"`     // SHA-256 of the part's content
	Revision int64  `json:"revision"` // revision at which the part last changed
}
