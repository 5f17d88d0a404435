package cmd

import (
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/exitcode"
)

var cmdOperation = &Command{
	Name: "operation", Desc: "say whether an apply whose answer was lost was accepted", Args: "ID", NArgs: 1,
	Action: func(e *Env, args []string) error {
		r, err := e.Client.call(fasthttp.MethodGet, adminapi.PathOperation+args[0], nil)
		if err != nil {
			return err
		}
		var result accept.Result
		if err := r.decode(&result); err != nil || result.Status == "" {
			return r.problem()
		}
		if result.Status != accept.Accepted {
			return exitcode.New(exitcode.Unknown, "%s", result.Detail)
		}
		e.printf("accepted as revision %d\n", result.Revision)
		return nil
	},
}
