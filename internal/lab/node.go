package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin"
)

// Node is one moorrund process.
type Node struct {
	Settings   settings.Settings
	LogFile    string              // file of its log
	PeerProxy  *standin.FaultProxy // before its peer address, if the lab is linked
	StoreProxy *standin.FaultProxy // between it and the object API, if the lab is linked
	process    *exec.Cmd
	done       chan struct{}
	exit       int
}

// kernelPort leaves the port to the kernel.
const kernelPort = "127.0.0.1:0"

// startLimit bounds the wait for a process's addresses.
const startLimit = 20 * time.Second

// SettingsOption changes a node's settings before it starts.
type SettingsOption func(*settings.Settings)

// StartNode starts moorrund for a VM, with settings quick enough for tests.
func (l *Lab) StartNode(vm, dataCentre string, tunes ...SettingsOption) (*Node, error) {
	s := settings.Settings{
		VM: vm, DataCentre: dataCentre, BootstrapOperatorSHA256: config.HashToken(OperatorToken),
		Platform:    settings.Platform{ObjectAPI: l.Objects.Address, VMList: l.VMs.Address, WeightStore: l.Weights.Address},
		HeartbeatMS: 100, PollMS: 100, EvidenceMS: 1500, LeaseTTLMS: 2000, AddressLifetimeMS: 1000, ReloadMS: 1000, StoreReads: 50, StoreWrites: 20,
	}
	s.CallerAddress, s.AdminAddress, s.PeerAddress = kernelPort, kernelPort, kernelPort
	l.mu.Lock()
	for _, other := range l.nodes {
		s.Peers = append(s.Peers, other.Settings.PeerAddress)
	}
	l.mu.Unlock()
	for _, tune := range tunes {
		tune(&s)
	}
	return l.start(s)
}

// link puts the node behind links of its own.
func (l *Lab) link(n *Node) error {
	var err, err2 error
	n.PeerProxy, err = standin.StartFaultProxy()
	n.StoreProxy, err2 = standin.StartFaultProxy()
	if err := errors.Join(err, err2); err != nil {
		return err
	}
	n.StoreProxy.SetTarget(l.Objects.Address)
	n.Settings.Platform.ObjectAPI = n.StoreProxy.Address
	n.Settings.PeerAddress, n.Settings.Listen.Peer = n.PeerProxy.Address, kernelPort
	return nil
}

func (l *Lab) start(s settings.Settings) (*Node, error) {
	n := &Node{Settings: s, LogFile: filepath.Join(l.Dir, s.VM+".log"), done: make(chan struct{})}
	if l.FaultProxies {
		if err := l.link(n); err != nil {
			return nil, err
		}
	}
	content, err := json.Marshal(n.Settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.Dir, s.VM+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(n.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	started, err := out.Stat()
	if err != nil {
		return nil, err
	}
	n.process = exec.Command(filepath.Join(l.BinDir, "moorrund"), "--settings", file) //nolint:gosec // our own program
	n.process.Stderr, n.process.Stdout = out, out
	if err := n.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer out.Close() //nolint:errcheck // a log
		_ = n.process.Wait()
		n.exit = n.process.ProcessState.ExitCode()
		close(n.done)
	}()
	l.mu.Lock()
	l.nodes[s.VM] = n
	l.mu.Unlock()
	return n, n.readAddresses(started.Size())
}

// readAddresses takes the addresses that the kernel chose from the log, which is read from that offset.
func (n *Node) readAddresses(offset int64) error {
	return WaitUntil(startLimit, "the addresses of "+n.Settings.VM, func() bool {
		content, err := os.ReadFile(n.LogFile)
		if err != nil || int64(len(content)) <= offset {
			return false
		}
		var line struct {
			Msg, Caller, Admin, Peer string
			Listen                   string `json:"peer_listen"`
		}
		first, _, whole := strings.Cut(string(content[offset:]), "\n")
		if !whole || json.Unmarshal([]byte(first), &line) != nil || line.Msg != "started" {
			return false
		}
		n.Settings.CallerAddress, n.Settings.AdminAddress, n.Settings.PeerAddress = line.Caller, line.Admin, line.Peer
		if n.PeerProxy != nil {
			n.PeerProxy.SetTarget(line.Listen)
		}
		return true
	})
}

// Restart starts the VM's process again, as a replaced VM that keeps nothing, at new addresses.
func (l *Lab) Restart(n *Node) (*Node, error) {
	s := n.Settings
	s.CallerAddress, s.AdminAddress, s.PeerAddress = kernelPort, kernelPort, kernelPort
	s.Listen = settings.Listen{}
	return l.start(s)
}

// Kill ends the process at once.
func (n *Node) Kill() {
	_ = n.process.Process.Signal(syscall.SIGCONT)
	_ = n.process.Process.Kill()
	<-n.done
	if n.PeerProxy != nil {
		n.PeerProxy.Close()
		n.StoreProxy.Close()
	}
}

// Pause freezes the process, or lets it go on.
func (n *Node) Pause(on bool) {
	signal := syscall.SIGCONT
	if on {
		signal = syscall.SIGSTOP
	}
	_ = n.process.Process.Signal(signal)
}

// Terminate asks the process to stop.
func (n *Node) Terminate() { _ = n.process.Process.Signal(syscall.SIGTERM) }

// PID returns the process id.
func (n *Node) PID() int { return n.process.Process.Pid }

// Wait waits for the process to end and returns its exit code.
func (n *Node) Wait(limit time.Duration) (int, error) {
	select {
	case <-n.done:
		return n.exit, nil
	case <-time.After(limit):
		return 0, fmt.Errorf("%s has not ended after %s", n.Settings.VM, limit)
	}
}

// Nodes returns the running nodes in no order.
func (l *Lab) Nodes() []*Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*Node
	for _, n := range l.nodes {
		select {
		case <-n.done:
		default:
			out = append(out, n)
		}
	}
	return out
}
