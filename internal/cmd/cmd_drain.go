package cmd

import (
	"github.com/google/uuid"
	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/exitcode"
)

var cmdDrain = &Command{
	Name: "drain", Desc: "take a VM or endpoint out of use, or back into use with --undo", Args: "NAME", NArgs: 1,
	Flags: func(f *pflag.FlagSet) { f.Bool("undo", false, "put it back into use") },
	Action: func(e *Env, args []string) error {
		request := adminapi.DrainRequest{Name: args[0], Drained: !e.boolFlag("undo"), Operation: uuid.NewString()}
		r, err := e.Client.call(fasthttp.MethodPost, adminapi.PathDrain, request)
		if err != nil {
			return exitcode.New(exitcode.Unknown, "outcome unknown, run the command again: %w", err)
		}
		if r.status != fasthttp.StatusOK {
			return r.problem()
		}
		e.printf("%s is %s\n", args[0], choose(request.Drained, "drained", "back in use"))
		return nil
	},
}
