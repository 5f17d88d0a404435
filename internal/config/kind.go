package config

// Kind is the kind of part that a file declares.
type Kind string

// The kinds of parts.
const (
	KindPool       Kind = "pool"
	KindDataCentre Kind = "data_centre"
	KindWorkspace  Kind = "workspace"
)
