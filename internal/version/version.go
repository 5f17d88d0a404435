// Package version holds the version of both programs.
package version

// Version is what "moorrun version" prints.
const Version = "0.1.0"
