package cmd

import (
	"github.com/google/uuid"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/adminapi"
)

var cmdDiff = &Command{
	Name: "diff", Desc: "show what applying files would change", Args: "PATH", NArgs: 1,
	Action: func(e *Env, args []string) error {
		files, _, err := readFiles(args[0])
		if err != nil {
			return err
		}
		var current adminapi.Revision
		if err := e.Client.get(adminapi.PathRevision, &current); err != nil {
			return err
		}
		result, err := e.sendApply(adminapi.ApplyRequest{Operation: uuid.NewString(), Files: files, Base: current.Accepted, DryRun: true})
		if err != nil {
			return err
		}
		for _, change := range result.Changes {
			e.printf("%s\n", change)
		}
		if result.Status == accept.Invalid || result.Status == accept.Conflict {
			return applyError(result)
		}
		e.printf("%d changes to revision %d\n", len(result.Changes), current.Accepted)
		return nil
	},
}
