package netconn

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed accept, which doubles with each failure in a row.
	minRetryPause = 5 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// passingErrors are errors of accept(2) that say nothing about the listener: this process or machine lacks something for now, or the
// connection to be accepted has failed.
var passingErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
}

// RetryListener is a listener whose Accept goes on after errors that pass, for servers that end at any error.
type RetryListener struct {
	net.Listener
	// OnError is called with each error after which Accept goes on; it must not block.
	OnError func(err error)
}

// Accept implements net.Listener.
func (l *RetryListener) Accept() (net.Conn, error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		l.OnError(err)
		time.Sleep(pause)
	}
}

func passes(err error) bool {
	return slices.ContainsFunc(passingErrors, func(e error) bool { return errors.Is(err, e) })
}
