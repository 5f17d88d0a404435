package peer

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"moorrun.dev/moorrun/internal/peer/peerpb"
)

// Server handles the streams and calls of other nodes.
type Server struct {
	fleet     *Fleet
	parts     PartSource
	allocator Allocator
}

// NewServer returns a Server that exchanges the state in fleet with its peers.
func NewServer(fleet *Fleet, parts PartSource, allocator Allocator) *Server {
	return &Server{fleet, parts, allocator}
}

// Serve accepts connections on lis until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, idleTimeoutListener{lis, idleTimeoutHeartbeats * s.fleet.Heartbeat})
}

// Parts implements peerpb.DRPCPeerServer. Parts that this node does not have are left out of the reply.
func (s *Server) Parts(ctx context.Context, request *peerpb.PartsRequest) (*peerpb.PartsReply, error) {
	if err := checkDeployment(ctx, s.fleet.Deployment); err != nil {
		return nil, err
	}
	reply := &peerpb.PartsReply{}
	for _, key := range request.Keys {
		if o, ok := s.parts.Part(key); ok {
			reply.Parts = append(reply.Parts, objectToWire(o))
		}
	}
	return reply, nil
}

// Demand implements peerpb.DRPCPeerServer.
func (s *Server) Demand(ctx context.Context, request *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	if err := checkDeployment(ctx, s.fleet.Deployment); err != nil {
		return nil, err
	}
	return s.allocator.Demand(ctx, request), nil
}
