package tunnel

import (
	"context"
	"net"

	"storj.io/drpc/drpcmigrate"
)

// Split divides the connections of a listener into tunnels and all others. Both listeners deliver connections while run does.
func Split(lis net.Listener) (tunnels, others net.Listener, run func(ctx context.Context) error) {
	mux := drpcmigrate.NewListenMux(lis, len(Prefix))
	return mux.Route(Prefix), mux.Default(), mux.Run
}
