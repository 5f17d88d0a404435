package config

// Workspace is the configuration part of one team.
type Workspace struct {
	Kind       Kind         `json:"kind"`
	Name       string       `json:"name"`
	Operators  []Credential `json:"operators,omitempty"`
	Callers    []Credential `json:"callers,omitempty"`
	Models     []Model      `json:"models,omitempty"`
	Services   []Service    `json:"services,omitempty"`
	Objectives []Objective  `json:"objectives,omitempty"`
}
