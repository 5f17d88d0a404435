package server

import (
	"context"
	"net"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/reach"
	"moorrun.dev/moorrun/internal/settings"
)

// Transport is what a node communicates with other nodes and with endpoints over.
type Transport struct {
	Datagrams gossip.Conn
	Calls     net.Listener // accepts the calls of other nodes
	Dial      gossip.Dial  // connects to other nodes' listeners
	Endpoints reach.Dial   // connects to endpoints
}

// ListenToNodes opens the TCP and UDP sockets for other nodes.
func ListenToNodes(s *settings.Gateway) (Transport, error) {
	calls, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return Transport{}, err
	}
	address, err := net.ResolveUDPAddr("udp", s.PeerAddress)
	if err != nil {
		return Transport{}, err
	}
	datagrams, err := net.ListenUDP("udp", address)
	if err != nil {
		return Transport{}, err
	}
	return Transport{Datagrams: datagrams, Calls: calls, Dial: gossip.DialTCP, Endpoints: dialTCP}, nil
}

// dialTCP connects to an endpoint; ctx bounds the time.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
