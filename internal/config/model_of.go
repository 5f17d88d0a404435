package config

// ModelOf is a model with the name of the workspace that owns it.
type ModelOf struct {
	Model
	Workspace string
}
