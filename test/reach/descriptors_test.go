package reach

import (
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a configuration that comes into force at the leader only, because the leader once had no descriptor left for a
// connection of another node and has accepted none since.
func TestConfigurationReachesAllNodesAfterTheLeaderLackedADescriptor(t *testing.T) {
	f := newFleet(t)
	for _, n := range f.nodes {
		n.accepted.fail(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)})
		c, err := net.Dial("tcp", n.settings.PeerAddress)
		qt.Assert(t, err, qt.IsNil)
		defer c.Close() //nolint:errcheck // the test ends
		f.await("the accept has failed", n.accepted.failed)
		n.accepted.closeAll() // so that the other nodes connect again
	}
	f.platform.Configure(2, 5000, "key-1", "key-2")
	f.await("the configuration is in force at all nodes", func() bool {
		for _, n := range f.nodes {
			if table := n.Table(); table == nil || table.Version != 2 {
				return false
			}
		}
		return true
	})
}
