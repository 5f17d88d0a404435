package server

import (
	"os"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/settings"
)

// Reload rereads the settings file on every signal. New peers are added at once; other changes take effect at the next start.
// An invalid file changes nothing. Signals are taken until the process exits: their default action would kill a stopping process
// along with the requests that it still has to finish.
func (n *Server) Reload(file string, signals <-chan os.Signal) {
	go func() {
		for range signals {
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
