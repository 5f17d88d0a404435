package standin

import (
	"net"
	"sync"
	"time"
)

// Fault is what a Link does to the connections through it.
type Fault uint8

const (
	// NoFault lets everything through.
	NoFault Fault = iota
	// Disconnect closes every connection and refuses new ones at once.
	Disconnect
	// Stall keeps connections open and delivers nothing, as to a VM that has vanished.
	Stall
	// StallReplies delivers what the connecting side says and nothing that comes back.
	StallReplies
	// Delay delivers everything late.
	Delay
)

const slowBy = 300 * time.Millisecond

// FaultProxy is a TCP connection's way through a fault. The library that tests would use instead, toxiproxy, cannot
// be resolved by the module proxy.
type FaultProxy struct {
	Address string
	lis     net.Listener

	mu      sync.Mutex
	target  string
	fault   Fault
	changed chan struct{}
	conns   map[net.Conn]bool
}

// StartFaultProxy listens; connections wait until To has named the target.
func StartFaultProxy() (*FaultProxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &FaultProxy{Address: lis.Addr().String(), lis: lis, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

// SetTarget names the target.
func (l *FaultProxy) SetTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// SetFault changes the fault, for open connections too.
func (l *FaultProxy) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	if f != Disconnect {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

// Close ends the link.
func (l *FaultProxy) Close() {
	_ = l.lis.Close()
	l.SetFault(Disconnect)
}

func (l *FaultProxy) state() (Fault, string, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.target, l.changed
}

func (l *FaultProxy) accept() {
	for {
		c, err := l.lis.Accept()
		if err != nil {
			return
		}
		fault, target, _ := l.state()
		if fault == Disconnect || target == "" {
			_ = c.Close()
			continue
		}
		go l.join(c, target)
	}
}

func (l *FaultProxy) join(c net.Conn, target string) {
	t, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[t] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(t, c, true) })
	both.Go(func() { l.copy(c, t, false) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, t)
	l.mu.Unlock()
}

// copy passes bytes on until either side ends; there says that they come from the connecting side.
func (l *FaultProxy) copy(to, from net.Conn, there bool) {
	defer to.Close()   //nolint:errcheck // the connection is over
	defer from.Close() //nolint:errcheck // the connection is over
	const size = 16 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		l.hold(there)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// hold waits while the fault keeps bytes back.
func (l *FaultProxy) hold(there bool) {
	for {
		fault, _, changed := l.state()
		switch {
		case fault == Delay:
			time.Sleep(slowBy)
			return
		case fault == Stall, fault == StallReplies && !there:
			<-changed
		default:
			return
		}
	}
}
