// Command moorrun is the operators' command line.
package main

import (
	"os"

	"moorrun.dev/moorrun/internal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
