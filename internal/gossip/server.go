package gossip

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/mirror"
)

// pullBytes bounds the objects of one reply. A copy of 3,000 endpoints is 1.2 MB; sent whole to 30 nodes at once it took
// over 200 MB of memory, and on a slow link nothing of it was kept when the time for one call had passed.
const pullBytes = 256 << 10

// Server answers the calls of other nodes.
type Server struct {
	incarnation string
	mirror      *mirror.Mirror
	ask         func(ctx context.Context, id, address string) bool
	packer      packer
}

// NewServer returns a Server that gives out what m holds; ask tells whether an endpoint answers this node.
func NewServer(incarnation string, m *mirror.Mirror, ask func(ctx context.Context, id, address string) bool) *Server {
	return &Server{incarnation: incarnation, mirror: m, ask: ask}
}

// Serve answers on lis until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := gossippb.DRPCRegisterGossip(mux, s); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, lis)
}

// Pull implements the drpc service.
func (s *Server) Pull(_ context.Context, request *gossippb.PullRequest) (*gossippb.PullReply, error) {
	since := request.Since
	if request.Incarnation != s.incarnation {
		since = 0
	}
	page := s.mirror.Page
	if request.Routing {
		page = s.mirror.RoutingPage
	}
	objects, sequence := page(since, pullBytes)
	reply := &gossippb.PullReply{Incarnation: s.incarnation, Sequence: sequence}
	for _, o := range objects {
		reply.Objects = append(reply.Objects, &gossippb.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return s.packer.pack(request, reply)
}

// Probe implements the drpc service.
func (s *Server) Probe(ctx context.Context, request *gossippb.ProbeRequest) (*gossippb.ProbeReply, error) {
	return &gossippb.ProbeReply{Answered: s.ask(ctx, request.Id, request.Address)}, nil
}

func objectsFromWire(list []*gossippb.Object) []infra.Object {
	out := make([]infra.Object, len(list))
	for i, o := range list {
		out[i] = infra.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
	}
	return out
}
