package server

import (
	"net"
)

// listeners are the sockets for callers and for operation and monitoring of the process; nil where no address is set.
type listeners struct{ caller, registry, readiness, metrics net.Listener }

// Listen opens all sockets except those for other nodes. It must be called before Run.
func (n *Server) Listen() error {
	s, out := n.settings, &n.listeners
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{s.CallerAddress, &out.caller}, {s.RegistryAddress, &out.registry}, {s.ReadinessAddress, &out.readiness}, {s.MetricsAddress, &out.metrics},
	} {
		if l.address == "" {
			continue
		}
		lis, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		*l.to = lis
	}
	return nil
}
