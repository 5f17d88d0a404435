package daemon

import (
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"moorrun.dev/moorrun/internal/eventlog"
	"moorrun.dev/moorrun/internal/exitcode"
	"moorrun.dev/moorrun/internal/hangup"
	"moorrun.dev/moorrun/internal/server"
	"moorrun.dev/moorrun/internal/settings"
)

// settingsEnvVar is the environment variable with the path of the settings file, used if --settings is not given.
const settingsEnvVar = "MOORRUN_CONFIG"

// newGateway returns the gateway command, which serves the callers of a platform.
func newGateway(platform server.NewPlatform) *cobra.Command {
	var file string
	gatewayCmd := &cobra.Command{
		Use: "gateway [--settings FILE]", Short: "Serve a platform's callers in front of its endpoints", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(settingsEnvVar)
			}
			s, err := settings.ReadGateway(file)
			if err != nil {
				return &exitcode.Error{Code: exitcode.Usage, Err: err}
			}
			out := eventlog.NewWriter(os.Stdout)
			defer out.Close() //nolint:errcheck // the log is closed, so an error cannot be logged
			logger := log.NewJSONLogger(out)
			logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
			logger = log.With(logger, "ts", log.TimestampFormat(time.Now, time.RFC3339Nano), "vm", s.VM)
			n, err := server.New(s, platform, logger)
			if err != nil {
				return exitcode.With(err)
			}
			n.Reload(file, hangup.Signals())
			return exitcode.With(n.Run(cmd.Context()))
		},
	}
	gatewayCmd.Flags().StringVar(&file, "settings", "", "JSON file with this process's settings; $"+settingsEnvVar+" if it is not given")
	return gatewayCmd
}
