package config

// ModelOf is a model with the workspace that owns it.
type ModelOf struct {
	Model
	Workspace string
}
