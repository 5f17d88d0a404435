package server

import (
	"net"
)

// listeners are the sockets of a process, besides the one for datagrams.
type listeners struct{ caller, registry, readiness, peer, metrics net.Listener }

// listen opens the sockets.
func (n *Server) listen() (err error) {
	s := n.settings
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{s.CallerAddress, &n.listeners.caller}, {s.RegistryAddress, &n.listeners.registry},
		{s.ReadinessAddress, &n.listeners.readiness}, {s.PeerAddress, &n.listeners.peer}, {s.MetricsAddress, &n.listeners.metrics},
	} {
		if l.address == "" {
			continue
		}
		if *l.to, err = net.Listen("tcp", l.address); err != nil {
			return err
		}
	}
	address, err := net.ResolveUDPAddr("udp", s.PeerAddress)
	if err != nil {
		return err
	}
	n.datagrams, err = net.ListenUDP("udp", address)
	return err
}
