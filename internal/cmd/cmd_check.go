package cmd

import (
	"github.com/spf13/pflag"
)

var cmdCheck = &Command{
	Name: "check", Desc: "check files without asking any node", Args: "PATH", NArgs: 1,
	Flags: func(f *pflag.FlagSet) {
		f.Bool("whole", true, "check the references between the files too, as a whole configuration")
	},
	Action: func(e *Env, args []string) error {
		_, set, err := readFiles(args[0])
		if err != nil {
			return err
		}
		if e.boolFlag("whole") {
			if problems := set.Validate(); problems != nil {
				return problems
			}
		}
		e.printf("%d parts, no problems\n", len(set))
		return nil
	},
}
