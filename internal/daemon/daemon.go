// Package daemon implements the command line of moorrund.
package daemon

import (
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"moorrun.dev/moorrun/internal/exitcode"
	"moorrun.dev/moorrun/internal/hangup"
	"moorrun.dev/moorrun/internal/node"
	"moorrun.dev/moorrun/internal/server"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/version"
)

// Main runs moorrund with args and returns its exit code. platform creates the adapter of the platform that the
// gateway command serves.
func Main(args []string, platform server.NewPlatform) int {
	var file string
	root := &cobra.Command{
		Use: "moorrund --settings FILE", Short: "Serve callers and operators on one entry VM",
		Args: cobra.NoArgs, Version: version.Version,
		RunE: func(cmd *cobra.Command, _ []string) error {
			hangup.Release() // this command does not reload
			s, err := settings.Read(file)
			if err != nil {
				return &exitcode.Error{Code: exitcode.Usage, Err: err}
			}
			n, err := node.New(s, newLogger(s))
			if err != nil {
				return exitcode.With(err)
			}
			return exitcode.With(n.Run(cmd.Context()))
		},
	}
	root.Flags().StringVar(&file, "settings", "", "JSON file with this process's settings")
	_ = root.MarkFlagRequired("settings")
	root.AddCommand(newGateway(platform))
	return exitcode.Run(root, args)
}

func newLogger(s *settings.Settings) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	return log.With(logger, "ts", log.TimestampFormat(time.Now, time.RFC3339Nano), "vm", s.VM, "data_centre", s.DataCentre)
}
