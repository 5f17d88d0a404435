package infra

// Listing is the result of List or Watch, consistent at one store version.
type Listing struct {
	Objects []Object `json:"objects"`
	Version int64    `json:"version"` // store version that the listing reflects
}
