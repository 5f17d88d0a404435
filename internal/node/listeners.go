package node

import (
	"net"
	"strings"

	"moorrun.dev/moorrun/internal/settings"
)

// listeners holds the listening sockets of a node, for callers, operators and peers.
type listeners struct{ caller, admin, peer net.Listener }

// listen opens the sockets. An advertised address with port 0 in s is replaced by the address that the socket got
// from the kernel.
func listen(s *settings.Settings) (l listeners, err error) {
	if l.caller, err = listenOne(s.Listen.Caller, &s.CallerAddress); err != nil {
		return l, err
	}
	if l.admin, err = listenOne(s.Listen.Admin, &s.AdminAddress); err != nil {
		return l, err
	}
	l.peer, err = listenOne(s.Listen.Peer, &s.PeerAddress)
	return l, err
}

func listenOne(address string, advertised *string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	if err == nil && strings.HasSuffix(*advertised, ":0") {
		*advertised = lis.Addr().String()
	}
	return lis, err
}
