// Package paths emulates the network between VMs and endpoints, in which single VMs lose the path to endpoints.
package paths

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"moorrun.dev/moorrun/internal/standin"
)

// Mode is the state of the paths of one VM.
type Mode uint8

const (
	// Open paths work.
	Open Mode = iota
	// Refused paths refuse new connections; open ones go on.
	Refused
	// Silent paths carry nothing: new connections hang, and open ones stop without an error.
	Silent
	// Reset paths break open connections and refuse new ones.
	Reset
)

// Paths connects VMs to endpoints.
type Paths struct {
	mu      sync.Mutex
	vms     map[string]*vm
	changed chan struct{} // closed at each change of a mode
}

// vm is the state of one VM's paths.
type vm struct {
	mode    Mode
	reaches func(address string) bool // the endpoints that the mode does not affect; nil for none
	proxies map[string]*standin.FaultProxy
}

// New returns Paths that all work.
func New() *Paths { return &Paths{vms: make(map[string]*vm), changed: make(chan struct{})} }

// Set changes the paths of a VM to all endpoints but those for which reaches returns true; nil exempts none.
func (p *Paths) Set(name string, mode Mode, reaches func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.vm(name)
	v.mode, v.reaches = mode, reaches
	for address, proxy := range v.proxies {
		proxy.SetFault(v.faultOf(address))
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close ends all connections.
func (p *Paths) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.vms {
		for _, proxy := range v.proxies {
			proxy.Close()
		}
	}
}

// Dial connects the VM to the endpoint at address.
func (p *Paths) Dial(ctx context.Context, name, address string) (net.Conn, error) {
	for {
		p.mu.Lock()
		mode, changed := p.vm(name).modeOf(address), p.changed
		p.mu.Unlock()
		switch mode {
		case Open:
			return p.connect(ctx, name, address)
		case Silent:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			}
		default:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
	}
}

// connect connects through the proxy of this path. It fails if the endpoint does not listen.
func (p *Paths) connect(ctx context.Context, name, address string) (net.Conn, error) {
	var d net.Dialer
	check, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	_ = check.Close()
	proxy, err := p.proxy(name, address)
	if err != nil {
		return nil, err
	}
	return d.DialContext(ctx, "tcp", proxy.Address)
}

func (p *Paths) proxy(name, address string) (*standin.FaultProxy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.vm(name)
	if known := v.proxies[address]; known != nil {
		return known, nil
	}
	proxy, err := standin.StartFaultProxy(standin.SharedHost)
	if err != nil {
		return nil, err
	}
	proxy.SetTarget(address)
	v.proxies[address] = proxy
	return proxy, nil
}

// vm returns the state of a VM. The caller holds p.mu.
func (p *Paths) vm(name string) *vm {
	v := p.vms[name]
	if v == nil {
		v = &vm{proxies: make(map[string]*standin.FaultProxy)}
		p.vms[name] = v
	}
	return v
}

func (v *vm) modeOf(address string) Mode {
	if v.reaches != nil && v.reaches(address) {
		return Open
	}
	return v.mode
}

func (v *vm) faultOf(address string) standin.Fault {
	switch v.modeOf(address) {
	case Silent:
		return standin.Stall
	case Reset:
		return standin.Disconnect
	default:
		return standin.NoFault
	}
}
