// Package lab runs real moorrund processes against an emulated platform on loopback, for the demo, the integration
// tests and the measurements.
package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/standin"
)

// Options configures a Lab.
type Options struct {
	Dir             string // working directory
	Config          string // directory of configuration files; their VMs and endpoints are emulated
	BinDir          string // directory of the built programs
	TokenInterval   time.Duration
	Prefill         time.Duration
	LoadReportLag   time.Duration
	PrefixCacheSize int           // capacity of each engine's prefix cache; 0 disables it
	WeightLoadTime  time.Duration // duration of a weight load without queueing
	LoadsPerSecond  float64
	VMListLag       time.Duration
	FaultProxies    bool // put a fault proxy before each node's peer address, object API and engine
}

// Lab is a running set of emulated platform services and moorrund processes.
type Lab struct {
	Options
	Objects        *standin.ObjectAPI
	VMs            *standin.VMList
	Weights        *standin.WeightStore
	Registry       *standin.EngineRegistry
	Engines        map[string]*standin.Engine        // by VM
	PlainEndpoints map[string]*standin.PlainEndpoint // by endpoint
	EngineProxies  map[string]*standin.FaultProxy    // by engine VM
	ConfigDir      string                            // directory of the configuration with the emulated addresses

	host  string // that the stand-ins and nodes listen on
	mu    sync.Mutex
	nodes map[string]*Node // by VM
}

// OperatorToken is the credential of the pool operator in the example configurations.
const OperatorToken = "platform-token"

// Build builds moorrun and moorrund into dir with the given go build flags.
func Build(root, dir string, flags ...string) error {
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, flags...)
	cmd := exec.Command("go", append(args, "./cmd/...")...) //nolint:gosec // our own programs
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("building moorrun and moorrund failed: %w\n%s", err, out)
	}
	return nil
}

// New starts the emulated platform for the configuration in o.Config, but no nodes.
func New(o Options) (*Lab, error) {
	l := &Lab{Options: o, EngineProxies: make(map[string]*standin.FaultProxy), Registry: standin.NewEngineRegistry(), Engines: make(map[string]*standin.Engine),
		PlainEndpoints: make(map[string]*standin.PlainEndpoint), nodes: make(map[string]*Node), ConfigDir: filepath.Join(o.Dir, "config"), host: standin.OwnHost()}
	var err, err2, err3 error
	l.Objects, err = standin.StartObjectAPI(l.host)
	l.VMs, err2 = standin.StartVMList(l.host, o.VMListLag)
	l.Weights, err3 = standin.StartWeightStore(l.host, o.LoadsPerSecond, o.WeightLoadTime)
	if err := errors.Join(err, err2, err3); err != nil {
		return nil, err
	}
	return l, l.writeConfig()
}

// writeConfig starts an emulator for each VM and endpoint of the configuration and writes it, with their addresses, to
// ConfigDir.
func (l *Lab) writeConfig() error {
	names, err := filepath.Glob(filepath.Join(l.Config, "*.json"))
	if err != nil || len(names) == 0 {
		return fmt.Errorf("no configuration files found in %s: %w", l.Config, err)
	}
	if err := os.MkdirAll(l.ConfigDir, 0o700); err != nil {
		return err
	}
	var listed []infra.VM
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		part, problems := config.ParsePart(name, content)
		if problems != nil {
			return problems
		}
		if err := l.startStandIns(part, &listed); err != nil {
			return err
		}
		if err := l.WritePart(part); err != nil {
			return err
		}
	}
	l.VMs.Set(listed)
	return nil
}

// WritePart writes a part of the configuration to ConfigDir, under its original file name.
func (l *Lab) WritePart(part config.Part) error {
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, part.Content(), "", "  "); err != nil {
		return err
	}
	file := filepath.Base(part.File)
	return os.WriteFile(filepath.Join(l.ConfigDir, file), pretty.Bytes(), 0o600)
}

func (l *Lab) startStandIns(part config.Part, listed *[]infra.VM) error {
	if part.DataCentre != nil {
		for _, d := range part.DataCentre.Domains {
			for i := range d.VMs {
				e, err := l.startEngine(d.VMs[i])
				if err != nil {
					return err
				}
				if d.VMs[i].Address, err = l.engineAddress(e); err != nil {
					return err
				}
				*listed = append(*listed, infra.VM{Name: e.VM, Address: e.Address, State: infra.VMLive})
			}
		}
	}
	if part.Workspace != nil {
		for _, s := range part.Workspace.Services {
			for i := range s.Endpoints {
				p, err := standin.StartPlainEndpoint(l.host)
				if err != nil {
					return err
				}
				l.PlainEndpoints[s.Endpoints[i].Name] = p
				s.Endpoints[i].Address = p.Address
			}
		}
	}
	return nil
}

// engineAddress returns the address at which nodes reach an engine, that of its fault proxy if FaultProxies is set.
func (l *Lab) engineAddress(e *standin.Engine) (string, error) {
	if !l.FaultProxies {
		return e.Address, nil
	}
	proxy, err := standin.StartFaultProxy(l.host)
	if err != nil {
		return "", err
	}
	proxy.SetTarget(e.Address)
	l.Registry.Alias(proxy.Address, e)
	l.EngineProxies[e.VM] = proxy
	return proxy.Address, nil
}

func (l *Lab) startEngine(vm config.VM) (*standin.Engine, error) {
	e, err := standin.StartEngine(standin.EngineOptions{
		VM: vm.Name, Host: l.host, ChecksOrders: vm.ChecksOrders, TokenInterval: l.TokenInterval, Prefill: l.Prefill,
		LoadReportLag: l.LoadReportLag, PrefixCacheSize: l.PrefixCacheSize, Weights: l.Weights, Registry: l.Registry,
	})
	if err == nil {
		l.Engines[vm.Name] = e
	}
	return e, err
}

// Close kills all processes and stops the emulated platform.
func (l *Lab) Close() {
	l.mu.Lock()
	nodes := l.nodes
	l.nodes = make(map[string]*Node)
	l.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	for _, e := range l.Engines {
		e.Freeze(false)
		e.Kill()
	}
	for _, p := range l.PlainEndpoints {
		p.Kill()
	}
	for _, proxy := range l.EngineProxies {
		proxy.Close()
	}
	l.Objects.Kill()
	l.VMs.Kill()
	l.Weights.Kill()
}
