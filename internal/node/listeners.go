package node

import (
	"net"
	"strings"

	"moorrun.dev/moorrun/internal/settings"
)

// listeners are the three sockets of a node.
type listeners struct{ caller, admin, peer net.Listener }

// listen opens the sockets. Where a told address leaves the port to the kernel, it is replaced by what was chosen.
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

func listenOne(address string, told *string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	if err == nil && strings.HasSuffix(*told, ":0") {
		*told = lis.Addr().String()
	}
	return lis, err
}
