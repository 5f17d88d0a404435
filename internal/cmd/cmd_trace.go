package cmd

import (
	"fmt"
	"os"

	"github.com/spf13/pflag"

	"moorrun.dev/moorrun/internal/exitcode"
	"moorrun.dev/moorrun/internal/trace"
)

var cmdTrace = &Command{
	Name: "trace", Desc: "show what the logs of nodes say of a request", Args: "ID", NArgs: 1,
	Flags: func(f *pflag.FlagSet) {
		outputFlag(f)
		f.StringSliceP("log", "l", nil, "files with the logs of the nodes; standard input if none is given")
	},
	Action: func(e *Env, args []string) error {
		lines, err := e.readLogs()
		if err != nil {
			return err
		}
		related := trace.ForRequest(args[0], lines)
		if len(related) == 0 {
			return exitcode.New(exitcode.Failed, "no line about request %s: it may not have reached these nodes, or was not sampled; see docs/OPERATIONS.md", args[0])
		}
		if e.stringFlag("output") == "json" {
			return e.printJSON(related)
		}
		var rows []string
		for i := range related {
			l := &related[i]
			rows = append(rows, row(l.Time(), l.VM, choose(l.Own, "*", ""), l.Event, l.Details()))
		}
		e.table("TIME\tVM\tOWN\tEVENT\tDETAILS", rows)
		return nil
	},
}

// readLogs reads the log files given by --log, or standard input if there are none.
func (e *Env) readLogs() ([]trace.Line, error) {
	files, _ := e.Flags.GetStringSlice("log")
	if len(files) == 0 {
		return trace.Read(os.Stdin)
	}
	var out []trace.Line
	for _, name := range files {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, exitcode.New(exitcode.Usage, "%v; name files with --log", err)
		}
		lines, err := trace.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, lines...)
	}
	return out, nil
}
