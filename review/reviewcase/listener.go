package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// refusedAfter is how long an opening packet is not answered before the queue counts as full.
const refusedAfter = 40 * time.Millisecond

// maxFillers bounds the connections that fill a queue.
const maxFillers = 8

// queueListener is a TCP listener with a short queue of new connections, which can be kept full for a moment: the kernel then
// drops opening packets, and a client sends them again after a second.
type queueListener struct {
	net.Listener

	mu     sync.Mutex
	paused chan struct{} // closed at the end of the pause; nil if there is none
}

func newQueueListener() (*queueListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "worker")
	defer file.Close() //nolint:errcheck // FileListener duplicates it
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &queueListener{Listener: l}, nil
}

// Accept implements net.Listener. It waits while the listener is paused.
func (l *queueListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return l.Listener.Accept()
}

// fill pauses the listener and fills its queue with connections, until an opening packet is dropped. The pause ends after the given
// time, and these connections are closed.
func (l *queueListener) fill(pause time.Duration) error {
	paused := make(chan struct{})
	l.mu.Lock()
	l.paused = paused
	l.mu.Unlock()
	var fillers []net.Conn
	end := func() {
		l.mu.Lock()
		l.paused = nil
		l.mu.Unlock()
		close(paused)
		for _, c := range fillers {
			_ = c.Close()
		}
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", l.Addr().String(), refusedAfter)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			time.AfterFunc(pause, end)
			return nil
		}
		if err != nil {
			end()
			return err
		}
		fillers = append(fillers, c)
	}
	end()
	return fmt.Errorf("the queue of %s takes more than %d connections", l.Addr(), maxFillers)
}
