// Package cmd holds the commands of moorrun, one a file.
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

// Command is one command of the command line.
type Command struct {
	Name string
	Desc string // one line
	Args string // as shown in the usage, such as "DIR"
	// NArgs is how many arguments it takes.
	NArgs  int
	Flags  func(*pflag.FlagSet)
	Action func(*Env, []string) error
	Sub    []*Command
}

// Env is what a command runs with.
type Env struct {
	Ctx    context.Context //nolint:containedctx // the life of one command
	Out    io.Writer
	Flags  *pflag.FlagSet
	Client *Client
}

func (e *Env) printf(format string, args ...any) { _, _ = fmt.Fprintf(e.Out, format, args...) }

func (e *Env) text(name string) string {
	v, _ := e.Flags.GetString(name)
	return v
}

func (e *Env) flag(name string) bool {
	v, _ := e.Flags.GetBool(name)
	return v
}

// commands are the commands of moorrun.
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
		root.AddCommand(c.cobra())
	}
	return exitcode.Run(root, args)
}

// cobra builds the library's form of the command.
func (c *Command) cobra() *cobra.Command {
	use := c.Name
	if c.Args != "" {
		use += " " + c.Args
	}
	k := &cobra.Command{Use: use, Short: c.Desc, Args: cobra.ExactArgs(c.NArgs)}
	if c.Flags != nil {
		c.Flags(k.Flags())
	}
	for _, sub := range c.Sub {
		k.AddCommand(sub.cobra())
	}
	if c.Action != nil {
		k.RunE = func(k *cobra.Command, args []string) error {
			client, err := newClient(k.Flags())
			if err != nil {
				return err
			}
			env := &Env{Ctx: k.Context(), Out: k.OutOrStdout(), Flags: k.Flags(), Client: client}
			return exitcode.With(c.Action(env, args))
		}
	}
	return k
}
