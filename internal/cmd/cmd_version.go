package cmd

var cmdVersion = &Command{
	Name: "version", Desc: "print the version", NArgs: 0,
	Action: func(e *Env, _ []string) error {
		e.printf("moorrun %s\n", Version)
		return nil
	},
}
