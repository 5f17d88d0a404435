package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link carries a machine's connections to the store. While it is cut, nothing passes in either direction: bytes on open connections are
// held up, and opening packets are dropped.
type link struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	open    chan struct{} // closed while the link works
	fillers []net.Conn    // take up the queue of new connections while the link is cut
	conns   []net.Conn
	closed  bool
}

// backlog is the length of the queue of new connections. It is short, so that it can be filled.
const backlog = 1

// startLink starts a link to an address.
func startLink(host, to string) (*link, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "link")
	defer file.Close() //nolint:errcheck // the listener has its own descriptor
	address := &syscall.SockaddrInet4{}
	copy(address.Addr[:], net.ParseIP(host).To4())
	if err := syscall.Bind(fd, address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	lis, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &link{listener: lis, to: to, open: make(chan struct{})}
	close(l.open)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// await waits until the link works.
func (l *link) await() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.await()
		go l.carry(c)
	}
}

// carry passes the bytes of a connection on. It connects to the store with the first of them.
func (l *link) carry(c net.Conn) {
	defer c.Close() //nolint:errcheck // the connection is over
	first := make([]byte, 64<<10)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	l.await()
	s, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer s.Close() //nolint:errcheck // the connection is over
	l.mu.Lock()
	l.conns = append(l.conns, c, s)
	closed := l.closed
	l.mu.Unlock()
	if _, err := s.Write(first[:n]); err != nil || closed {
		return
	}
	go func() {
		l.pass(c, s)
		_ = c.Close()
	}()
	l.pass(s, c)
}

// pass copies bytes while the link works.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cut cuts the link.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
	for range 8 {
		c, err := net.DialTimeout("tcp", l.address(), 50*time.Millisecond)
		if err != nil {
			return // the queue is full
		}
		l.fillers = append(l.fillers, c)
	}
}

// heal makes the link work again.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
	close(l.open)
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.conns {
		_ = c.Close()
	}
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}
