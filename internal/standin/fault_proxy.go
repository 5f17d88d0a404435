package standin

import (
	"net"
	"sync"
	"time"
)

// Fault is the fault that a FaultProxy injects into its connections.
type Fault uint8

const (
	// NoFault forwards everything at once.
	NoFault Fault = iota
	// Disconnect closes every open connection, and each new one as soon as it is accepted.
	Disconnect
	// Stall keeps connections open but forwards nothing, as if the VM behind them had vanished.
	Stall
	// StallReplies forwards what the client sends but nothing that the target sends.
	StallReplies
	// Delay forwards each chunk of data after addedDelay.
	Delay
)

const addedDelay = 300 * time.Millisecond

// FaultProxy is a TCP proxy with fault injection. It replaces toxiproxy, which the Go module proxy cannot resolve.
type FaultProxy struct {
	Address string
	lis     net.Listener

	mu      sync.Mutex
	target  string
	fault   Fault
	changed chan struct{}
	conns   map[net.Conn]bool
}

// StartFaultProxy starts a proxy without a target on a loopback host; it closes new connections until SetTarget is called.
func StartFaultProxy(host string) (*FaultProxy, error) {
	lis, err := net.Listen("tcp", anyPort(host))
	if err != nil {
		return nil, err
	}
	p := &FaultProxy{Address: lis.Addr().String(), lis: lis, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// SetTarget sets the address that new connections are forwarded to.
func (p *FaultProxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// SetFault changes the fault; this also affects open connections.
func (p *FaultProxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f != Disconnect {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

// Close stops the proxy and closes its connections.
func (p *FaultProxy) Close() {
	_ = p.lis.Close()
	p.SetFault(Disconnect)
}

func (p *FaultProxy) state() (Fault, string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.target, p.changed
}

func (p *FaultProxy) accept() {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		fault, target, _ := p.state()
		if fault == Disconnect || target == "" {
			_ = c.Close()
			continue
		}
		go p.proxy(c, target)
	}
}

func (p *FaultProxy) proxy(c net.Conn, target string) {
	t, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(t, c, true) })
	both.Go(func() { p.copy(c, t, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// copy forwards data until either side closes; outbound means from the client to the target.
func (p *FaultProxy) copy(to, from net.Conn, outbound bool) {
	defer to.Close()   //nolint:errcheck // the connection is over
	defer from.Close() //nolint:errcheck // the connection is over
	const size = 16 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.waitForFault(outbound)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// waitForFault blocks while the current fault stalls this direction, and sleeps if it delays data.
func (p *FaultProxy) waitForFault(outbound bool) {
	for {
		fault, _, changed := p.state()
		switch {
		case fault == Delay:
			time.Sleep(addedDelay)
			return
		case fault == Stall, fault == StallReplies && !outbound:
			<-changed
		default:
			return
		}
	}
}
