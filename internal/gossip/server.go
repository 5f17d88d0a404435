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

// maxPullBytes bounds the size in bytes of the objects in one reply to Pull. A copy of 3,000 endpoints is 1.2 MB. Sent
// whole to 30 nodes at once it took over 200 MB of memory, and on a slow link a call that timed out transferred nothing.
const maxPullBytes = 256 << 10

// Server answers the drpc calls of other nodes.
type Server struct {
	incarnation string
	mirror      *mirror.Mirror
	probe       func(ctx context.Context, id, address string) ProbeResult
	compressor  compressor
}

// NewServer returns a Server that serves the objects of m; probe contacts an endpoint.
func NewServer(incarnation string, m *mirror.Mirror, probe func(ctx context.Context, id, address string) ProbeResult) *Server {
	return &Server{incarnation: incarnation, mirror: m, probe: probe}
}

// Serve accepts connections on lis and answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := gossippb.DRPCRegisterGossip(mux, s); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, lis)
}

// Pull implements the drpc method of that name: it returns store objects that changed after the requested sequence number.
func (s *Server) Pull(_ context.Context, request *gossippb.PullRequest) (*gossippb.PullReply, error) {
	since := request.Since
	if request.Incarnation != s.incarnation {
		since = 0
	}
	page := s.mirror.Page
	if request.Routing {
		page = s.mirror.RoutingPage
	}
	objects, sequence := page(since, maxPullBytes)
	reply := &gossippb.PullReply{Incarnation: s.incarnation, Sequence: sequence}
	for _, o := range objects {
		reply.Objects = append(reply.Objects, &gossippb.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return s.compressor.compress(request, reply)
}

// Probe implements the drpc method of that name: it reports whether an endpoint answers this node.
func (s *Server) Probe(ctx context.Context, request *gossippb.ProbeRequest) (*gossippb.ProbeReply, error) {
	found := s.probe(ctx, request.Id, request.Address)
	return &gossippb.ProbeReply{Answered: found.Answered, Isolated: found.Isolated}, nil
}

func objectsFromWire(list []*gossippb.Object) []infra.Object {
	out := make([]infra.Object, len(list))
	for i, o := range list {
		out[i] = infra.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
	}
	return out
}
