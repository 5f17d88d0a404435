package server

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/settings"
)

// Reload rereads the settings file on every SIGHUP. New peers are added at once; other changes take effect at the next start.
// An invalid file changes nothing. The signal is handled until the process exits, because its default action would kill a
// stopping process along with the requests that it still has to finish.
func (n *Server) Reload(file string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			n.reload(file)
		}
	}()
}

func (n *Server) reload(file string) {
	s, err := settings.ReadGateway(file)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "settings not reloaded", "file", file, "err", err)
		return
	}
	n.gossip.Add(s.Peers...)
	_ = level.Info(n.logger).Log("msg", "settings reloaded", "file", file, "peers", len(s.Peers))
}
