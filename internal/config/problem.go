package config

import "strings"

// Problem is one fault of an operator's file.
type Problem struct {
	File    string `json:"file"`
	Field   string `json:"field"` // path of the field, such as /models/0/version; "/" is the whole file
	Message string `json:"message"`
}

// String returns the problem on one line.
func (p Problem) String() string { return p.File + ": " + p.Field + ": " + p.Message }

// Problems is every fault found at once.
type Problems []Problem

// Error implements error, one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
