package peer

import (
	"context"
	"fmt"

	"storj.io/drpc/drpcmetadata"
)

// deploymentKey is the key of the caller's deployment in the metadata of streams and calls.
const deploymentKey = "deployment"

// withDeployment returns a context whose streams and calls name the deployment that this node belongs to.
func withDeployment(ctx context.Context, name string) context.Context {
	if name == "" {
		return ctx
	}
	return drpcmetadata.Add(ctx, deploymentKey, name)
}

// checkDeployment returns an error if a stream or call comes from a node of another deployment, which has held on to an address
// that a node of this one has now. Nodes that name no deployment are accepted.
func checkDeployment(ctx context.Context, name string) error {
	metadata, _ := drpcmetadata.Get(ctx)
	if other := metadata[deploymentKey]; name != "" && other != "" && other != name {
		return fmt.Errorf("this node belongs to deployment %q, the caller to %q", name, other)
	}
	return nil
}
