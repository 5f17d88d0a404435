// Command moorrund serves callers and operators on one entry VM.
package main

import (
	"os"

	"moorrun.dev/moorrun/internal/daemon"
	"moorrun.dev/moorrun/platform"
)

func main() { os.Exit(daemon.Main(os.Args[1:], platform.New)) }
