package server

import (
	"net"

	"moorrun.dev/moorrun/internal/settings"
)

// listeners are the sockets for callers and for operation and monitoring of the process; nil where no address is set.
type listeners struct{ caller, registry, readiness, metrics net.Listener }

// listen opens all sockets except those for other nodes.
func listen(s *settings.Gateway) (out listeners, err error) {
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{s.CallerAddress, &out.caller}, {s.RegistryAddress, &out.registry}, {s.ReadinessAddress, &out.readiness}, {s.MetricsAddress, &out.metrics},
	} {
		if l.address == "" {
			continue
		}
		if *l.to, err = net.Listen("tcp", l.address); err != nil {
			return out, err
		}
	}
	return out, nil
}
