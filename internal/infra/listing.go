package infra

// Listing is a consistent answer of List or Watch.
type Listing struct {
	Objects []Object `json:"objects"`
	Version int64    `json:"version"` // the store version the listing is current at
}
