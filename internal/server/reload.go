package server

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/settings"
)

// Reload reads the settings anew on SIGHUP until ctx ends. New peers are taken in at once; whatever else differs
// counts from the next start. A file that is faulty changes nothing.
func (n *Server) Reload(ctx context.Context, file string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				n.reload(file)
			}
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
