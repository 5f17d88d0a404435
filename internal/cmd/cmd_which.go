package cmd

import (
	"errors"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/entry"
	"moorrun.dev/moorrun/internal/exitcode"
)

var cmdWhich = &Command{
	Name: "which", Desc: "ask which address callers should use", NArgs: 0,
	Flags: func(f *pflag.FlagSet) {
		outputFlag(f)
		f.StringSlice("address", nil, "callers' addresses to ask; default: those the status names")
	},
	Action: func(e *Env, _ []string) error {
		addresses, _ := e.Flags.GetStringSlice("address")
		if len(addresses) == 0 {
			var s adminapi.Status
			if err := e.Client.get(adminapi.PathStatus, &s); err != nil {
				return err
			}
			for _, n := range s.Nodes {
				addresses = append(addresses, n.CallerAddress)
			}
		}
		answer, err := e.Client.which(addresses)
		if err != nil {
			return err
		}
		if e.stringFlag("output") == "json" {
			return e.printJSON(answer)
		}
		for _, a := range answer.Addresses {
			e.printf("%s  %s  %s\n", a.Address, a.VM, a.DataCentre)
		}
		e.printf("good for %d ms\n", answer.LifetimeMS)
		return nil
	},
}

func (c *Client) which(addresses []string) (entry.AddressList, error) {
	var answer entry.AddressList
	var errs []error
	for _, address := range addresses {
		r, err := c.callNode(address, fasthttp.MethodGet, "/v1/which", nil)
		if err == nil && r.status == fasthttp.StatusOK {
			return answer, r.decode(&answer)
		}
		errs = append(errs, err)
	}
	return answer, exitcode.New(exitcode.Failed, "no address answers: %w", errors.Join(errs...))
}
