package cmd

import (
	"bufio"
	"os"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/exitcode"
)

var cmdHash = &Command{
	Name: "hash", Desc: "read a token from standard input and print the hash to put into a file", NArgs: 0,
	Action: func(e *Env, _ []string) error {
		in := bufio.NewScanner(os.Stdin)
		if !in.Scan() || in.Text() == "" {
			return exitcode.New(exitcode.Usage, "give the token as a line on standard input")
		}
		e.printf("%s\n", config.HashToken(in.Text()))
		return nil
	},
}
