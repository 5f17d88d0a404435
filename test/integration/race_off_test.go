//go:build !race

package integration

var raceFlags []string
