//go:build race

package integration

// raceFlags enable the race detector in the moorrund processes too; checkLogs fails the test on a reported race.
var raceFlags = []string{"-race"}
