package daemon

import (
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"moorrun.dev/moorrun/internal/eventlog"
	"moorrun.dev/moorrun/internal/exitcode"
	"moorrun.dev/moorrun/internal/server"
	"moorrun.dev/moorrun/internal/settings"
)

// settingsVariable names the settings file if the command line does not.
const settingsVariable = "MOORRUN_CONFIG"

// newGateway returns the command that serves a platform's callers.
func newGateway(platform server.NewPlatform) *cobra.Command {
	var file string
	k := &cobra.Command{
		Use: "gateway [--settings FILE]", Short: "Serve a platform's callers in front of its endpoints", Args: cobra.NoArgs,
		RunE: func(k *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(settingsVariable)
			}
			s, err := settings.ReadGateway(file)
			if err != nil {
				return &exitcode.Error{Code: exitcode.Usage, Err: err}
			}
			out := eventlog.NewWriter(os.Stdout)
			defer out.Close() //nolint:errcheck // nothing can be said of it any more
			logger := log.NewJSONLogger(out)
			logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
			logger = log.With(logger, "ts", log.TimestampFormat(time.Now, time.RFC3339Nano), "vm", s.VM)
			n, err := server.New(s, platform, logger)
			if err != nil {
				return exitcode.With(err)
			}
			n.Reload(file)
			return exitcode.With(n.Run(k.Context()))
		},
	}
	k.Flags().StringVar(&file, "settings", "", "JSON file with this process's settings; $"+settingsVariable+" if it is not given")
	return k
}
