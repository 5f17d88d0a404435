// Command moorrund serves callers and operators on one entry VM.
package main

import (
	"os"

	"moorrun.dev/moorrun/internal/cmd"
)

func main() { os.Exit(cmd.Daemon(os.Args[1:])) }
