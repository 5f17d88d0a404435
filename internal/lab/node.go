package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
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
	LogFile    string
	PeerProxy  *standin.FaultProxy // in front of the peer address; nil without FaultProxies
	StoreProxy *standin.FaultProxy // between the node and the object API; nil without FaultProxies
	process    *exec.Cmd
	done       chan struct{}
	exit       int
}

// startTimeout bounds the wait until a process has logged its addresses.
const startTimeout = 20 * time.Second

// SettingsOption changes the settings of a node before it starts.
type SettingsOption func(*settings.Settings)

// StartNode starts moorrund for a VM. Its intervals and timeouts are short enough for tests.
func (l *Lab) StartNode(vm, dataCentre string, options ...SettingsOption) (*Node, error) {
	s := settings.Settings{
		Deployment: l.deployment(), VM: vm, DataCentre: dataCentre, BootstrapOperatorSHA256: config.HashToken(OperatorToken),
		Platform:    settings.Platform{ObjectAPI: l.Objects.Address, VMList: l.VMs.Address, WeightStore: l.Weights.Address},
		HeartbeatMS: 100, PollMS: 100, EvidenceMS: 1500, LeaseTTLMS: 2000, AddressLifetimeMS: 1000, ReloadMS: 1000, StoreReads: 50, StoreWrites: 20,
	}
	s.CallerAddress, s.AdminAddress, s.PeerAddress = l.kernelChosenPort(), l.kernelChosenPort(), l.kernelChosenPort()
	l.mu.Lock()
	for _, other := range l.nodes {
		s.Peers = append(s.Peers, other.Settings.PeerAddress)
	}
	l.mu.Unlock()
	for _, option := range options {
		option(&s)
	}
	return l.start(s)
}

// kernelChosenPort returns an address of the lab whose port the kernel chooses.
func (l *Lab) kernelChosenPort() string { return net.JoinHostPort(l.host, "0") }

// deployment returns a name that differs from those of other labs, whose nodes may get ports that nodes of this one had.
func (l *Lab) deployment() string { return strings.ReplaceAll(l.Objects.Address, ":", "-") }

// addProxies puts fault proxies before the peer address of the node and between the node and the object API.
func (l *Lab) addProxies(n *Node) error {
	var err, err2 error
	n.PeerProxy, err = standin.StartFaultProxy(l.host)
	n.StoreProxy, err2 = standin.StartFaultProxy(l.host)
	if err := errors.Join(err, err2); err != nil {
		return err
	}
	n.StoreProxy.SetTarget(l.Objects.Address)
	n.Settings.Platform.ObjectAPI = n.StoreProxy.Address
	n.Settings.PeerAddress, n.Settings.Listen.Peer = n.PeerProxy.Address, l.kernelChosenPort()
	return nil
}

func (l *Lab) start(s settings.Settings) (*Node, error) {
	n := &Node{Settings: s, LogFile: filepath.Join(l.Dir, s.VM+".log"), done: make(chan struct{})}
	if l.FaultProxies {
		if err := l.addProxies(n); err != nil {
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
		defer out.Close() //nolint:errcheck // only a log file
		_ = n.process.Wait()
		n.exit = n.process.ProcessState.ExitCode()
		close(n.done)
	}()
	l.mu.Lock()
	l.nodes[s.VM] = n
	l.mu.Unlock()
	return n, n.readAddresses(started.Size())
}

// readAddresses reads the addresses chosen by the kernel from the first log line after offset.
func (n *Node) readAddresses(offset int64) error {
	return WaitUntil(startTimeout, "the listen addresses of "+n.Settings.VM, func() bool {
		content, err := os.ReadFile(n.LogFile)
		if err != nil || int64(len(content)) <= offset {
			return false
		}
		var line struct {
			Msg, Caller, Admin, Peer string
			Listen                   string `json:"peer_listen"`
		}
		first, _, complete := strings.Cut(string(content[offset:]), "\n")
		if !complete || json.Unmarshal([]byte(first), &line) != nil || line.Msg != "started" {
			return false
		}
		n.Settings.CallerAddress, n.Settings.AdminAddress, n.Settings.PeerAddress = line.Caller, line.Admin, line.Peer
		if n.PeerProxy != nil {
			n.PeerProxy.SetTarget(line.Listen)
		}
		return true
	})
}

// Restart starts a new process for the VM of n at new addresses, as if the VM had been replaced and its state lost.
func (l *Lab) Restart(n *Node) (*Node, error) {
	s := n.Settings
	s.CallerAddress, s.AdminAddress, s.PeerAddress = l.kernelChosenPort(), l.kernelChosenPort(), l.kernelChosenPort()
	s.Listen = settings.Listen{}
	return l.start(s)
}

// Kill kills the process and waits for its exit.
func (n *Node) Kill() {
	_ = n.process.Process.Signal(syscall.SIGCONT)
	_ = n.process.Process.Kill()
	<-n.done
	if n.PeerProxy != nil {
		n.PeerProxy.Close()
		n.StoreProxy.Close()
	}
}

// Pause suspends the process with SIGSTOP, or resumes it.
func (n *Node) Pause(on bool) {
	signal := syscall.SIGCONT
	if on {
		signal = syscall.SIGSTOP
	}
	_ = n.process.Process.Signal(signal)
}

// Terminate sends SIGTERM to the process, which stops it gracefully.
func (n *Node) Terminate() { _ = n.process.Process.Signal(syscall.SIGTERM) }

// PID returns the process ID.
func (n *Node) PID() int { return n.process.Process.Pid }

// Wait waits for the process to exit and returns its exit code.
func (n *Node) Wait(limit time.Duration) (int, error) {
	select {
	case <-n.done:
		return n.exit, nil
	case <-time.After(limit):
		return 0, fmt.Errorf("process of %s did not exit within %s", n.Settings.VM, limit)
	}
}

// Nodes returns the running nodes in unspecified order.
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
