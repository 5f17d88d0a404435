//go:build race

package integration

// raceFlags build the processes with the race detector when the tests have it; its findings fail them.
var raceFlags = []string{"-race"}
