package lab

import (
	"context"
	"net"
	"os"
	"path/filepath"

	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/node"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/paths"
)

// InProcessNode is a node in this process, whose paths to engines and endpoints can be cut.
type InProcessNode struct {
	Settings settings.Settings
	LogFile  string
	log      *os.File
	stop     context.CancelFunc
	done     chan error
}

// StartInProcess starts a node for a VM in this process, which connects to engines and endpoints along p.
func (l *Lab) StartInProcess(vm, dataCentre string, p *paths.Paths) (*InProcessNode, error) {
	anyPort := l.kernelChosenPort()
	n := &InProcessNode{LogFile: filepath.Join(l.Dir, vm+".log"), done: make(chan error, 1)}
	n.Settings = settings.Settings{
		Deployment: l.deployment(), VM: vm, DataCentre: dataCentre, BootstrapOperatorSHA256: config.HashToken(OperatorToken),
		Platform:    settings.Platform{ObjectAPI: l.Objects.Address, VMList: l.VMs.Address, WeightStore: l.Weights.Address},
		HeartbeatMS: 100, PollMS: 100, EvidenceMS: 1500, LeaseTTLMS: 2000, AddressLifetimeMS: 1000, ReloadMS: 1000, StoreReads: 50, StoreWrites: 20,
		Listen:        settings.Listen{Caller: anyPort, Admin: anyPort, Peer: anyPort},
		CallerAddress: anyPort, AdminAddress: anyPort, PeerAddress: anyPort,
	}
	for _, other := range l.Nodes() {
		n.Settings.Peers = append(n.Settings.Peers, other.Settings.PeerAddress)
	}
	var err error
	if n.log, err = os.Create(n.LogFile); err != nil {
		return nil, err
	}
	process, err := node.New(&n.Settings, log.NewJSONLogger(log.NewSyncWriter(n.log)))
	if err != nil {
		return nil, err
	}
	process.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) { return p.Dial(ctx, vm, address) }
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.done <- process.Run(ctx) }()
	return n, nil
}

// Stop stops the node and waits until it has ended.
func (n *InProcessNode) Stop() error {
	n.stop()
	err := <-n.done
	_ = n.log.Close()
	return err
}
