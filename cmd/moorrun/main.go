// Command moorrun is the command line tool for operators.
package main

import (
	"os"

	"moorrun.dev/moorrun/internal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
