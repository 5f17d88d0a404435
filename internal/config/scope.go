package config

// Scope is what an operator may change: the whole pool or one workspace.
type Scope struct {
	Pool      bool
	Workspace string
}

// Covers reports whether the scope includes the part with the given name.
func (s Scope) Covers(part string) bool {
	return s.Pool || s.Workspace != "" && part == WorkspacePart(s.Workspace)
}
