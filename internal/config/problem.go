package config

import "strings"

// Problem is one error in a configuration or settings file.
type Problem struct {
	File    string `json:"file"`
	Field   string `json:"field"` // path of the field, such as /models/0/version; "/" for the whole file
	Message string `json:"message"`
}

// String returns the problem on one line.
func (p Problem) String() string { return p.File + ": " + p.Field + ": " + p.Message }

// Problems holds all problems found, so that they are reported together. It implements error.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
