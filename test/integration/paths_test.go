package integration

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/node"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/paths"
)

// startInProcess starts a node in this process, whose paths to engines and endpoints are those of p.
func startInProcess(t *testing.T, l *lab.Lab, p *paths.Paths, vm string, peers ...string) *settings.Settings {
	t.Helper()
	s := &settings.Settings{
		VM: vm, DataCentre: "rvk-1", BootstrapOperatorSHA256: config.HashToken(lab.OperatorToken),
		Platform:    settings.Platform{ObjectAPI: l.Objects.Address, VMList: l.VMs.Address, WeightStore: l.Weights.Address},
		HeartbeatMS: 100, PollMS: 100, EvidenceMS: 1500, LeaseTTLMS: 2000, AddressLifetimeMS: 100, ReloadMS: 1000, StoreReads: 50, StoreWrites: 20, Peers: peers,
	}
	for _, listen := range []*string{&s.Listen.Caller, &s.Listen.Admin, &s.Listen.Peer, &s.CallerAddress, &s.AdminAddress, &s.PeerAddress} {
		*listen = "127.0.0.1:0"
	}
	n, err := node.New(s, log.NewNopLogger())
	qt.Assert(t, err, qt.IsNil)
	n.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) { return p.Dial(ctx, vm, address) }
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return s
}

// Guards against refusing callers, and against replica groups without evidence that they are whole, at nodes that have lost their
// paths to engines while another node reaches them.
func TestNodesWithoutAPathToEnginesServeThroughOthers(t *testing.T) {
	for name, mode := range map[string]paths.Mode{"refused": paths.Refused, "silent": paths.Silent, "reset": paths.Reset} {
		t.Run(name, func(t *testing.T) {
			f := newUnconfiguredFleet(t)
			p := paths.New()
			t.Cleanup(p.Close)
			first := startInProcess(t, f.Lab, p, "entry-4", f.nodes[0].Settings.PeerAddress)
			second := startInProcess(t, f.Lab, p, "entry-5", f.nodes[0].Settings.PeerAddress, first.PeerAddress)
			f.apply()
			f.Assert(f.WaitForUsableGroups(4, waitTimeout), qt.IsNil)
			caller := lab.NewCaller("donors-caller-token")
			complete := func(s *settings.Settings) bool {
				r := caller.Complete(s.CallerAddress, lab.Completion{Model: "letters-70b", Prompt: "p", Tokens: 3, DeadlineMS: 3000})
				if r.Err != nil || r.Status != 200 {
					t.Logf("%s: status %d, %v, %s", s.VM, r.Status, r.Err, r.Text)
				}
				return r.Err == nil && r.Status == 200
			}
			for _, s := range []*settings.Settings{first, second} {
				f.waitUntil("the node serves", func() bool { return complete(s) })
				p.Set(s.VM, mode, nil)
			}
			time.Sleep(3 * time.Second) // the time to find out
			const requests = 20
			for _, s := range []*settings.Settings{first, second} {
				served := 0
				for range requests {
					if complete(s) {
						served++
					}
				}
				qt.Check(t, 3*served >= 2*requests, qt.IsTrue, qt.Commentf("%s served %d of %d", s.VM, served, requests))
			}
		})
	}
}
