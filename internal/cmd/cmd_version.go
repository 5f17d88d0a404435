package cmd

import "moorrun.dev/moorrun/internal/version"

var cmdVersion = &Command{
	Name: "version", Desc: "print the version", NArgs: 0,
	Action: func(e *Env, _ []string) error {
		e.printf("moorrun %s\n", version.Version)
		return nil
	},
}
