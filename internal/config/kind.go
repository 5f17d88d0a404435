package config

// Kind says what a file declares.
type Kind string

// The kinds of files.
const (
	KindPool       Kind = "pool"
	KindDataCentre Kind = "data_centre"
	KindWorkspace  Kind = "workspace"
)
