package server

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/settings"
)

// Reload reads the settings anew on SIGHUP. New peers are taken in at once; whatever else differs counts from the next start. A
// file that is faulty changes nothing. The signal is taken until the process ends: left to itself it would end one that is
// stopping, with all that it still has to finish.
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
