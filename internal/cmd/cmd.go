// Package cmd implements the commands of moorrun, one per file.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"moorrun.dev/moorrun/internal/exitcode"
)

// Command is a command of moorrun, or one of its subcommands.
type Command struct {
	Name string
	Desc string // one line
	Args string // as shown in the usage, such as "DIR"
	// NArgs is the number of positional arguments.
	NArgs  int
	Flags  func(*pflag.FlagSet)
	Action func(*Env, []string) error
	Sub    []*Command
}

// Env is the environment of a running command.
type Env struct {
	Ctx    context.Context //nolint:containedctx // ends with the command
	Out    io.Writer
	Flags  *pflag.FlagSet
	Client *Client
}

func (e *Env) printf(format string, args ...any) { _, _ = fmt.Fprintf(e.Out, format, args...) }

func (e *Env) stringFlag(name string) string {
	v, _ := e.Flags.GetString(name)
	return v
}

func (e *Env) boolFlag(name string) bool {
	v, _ := e.Flags.GetBool(name)
	return v
}

var commands = []*Command{
	cmdCheck, cmdDiff, cmdApply, cmdGet, cmdStatus, cmdWhich, cmdDrain, cmdOperation, cmdReport, cmdTrace, cmdHash, cmdVersion,
}

// Main runs moorrun and returns its exit code.
func Main(args []string) int {
	root := &cobra.Command{
		Use: "moorrun", Short: "Operate moorrun: configuration, replica groups and reports",
	}
	root.PersistentFlags().StringSlice("node", nodesFromEnv(), "administration addresses to use, tried in order (MOORRUN_NODES)")
	root.PersistentFlags().String("token-file", os.Getenv("MOORRUN_TOKEN_FILE"), "file that holds the operator's credential (MOORRUN_TOKEN_FILE)")
	for _, c := range commands {
		root.AddCommand(c.cobraCommand())
	}
	return exitcode.Run(root, args)
}

// cobraCommand returns the command in the form of the cobra library.
func (c *Command) cobraCommand() *cobra.Command {
	use := c.Name
	if c.Args != "" {
		use += " " + c.Args
	}
	command := &cobra.Command{Use: use, Short: c.Desc, Args: cobra.ExactArgs(c.NArgs)}
	if c.Flags != nil {
		c.Flags(command.Flags())
	}
	for _, sub := range c.Sub {
		command.AddCommand(sub.cobraCommand())
	}
	if c.Action != nil {
		command.RunE = func(command *cobra.Command, args []string) error {
			client, err := newClient(command.Flags())
			if err != nil {
				return err
			}
			env := &Env{Ctx: command.Context(), Out: command.OutOrStdout(), Flags: command.Flags(), Client: client}
			return exitcode.With(c.Action(env, args))
		}
	}
	return command
}
