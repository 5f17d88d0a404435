package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"time"
)

// SharedHost is the loopback host that outgoing connections use, too.
const SharedHost = "127.0.0.1"

// hosts counts the loopback hosts that this process has taken.
var hosts atomic.Uint32

// OwnHost returns a loopback host that no other set of stand-ins uses, so that a port which becomes free there is taken neither by one
// of another set nor by an outgoing connection. On systems that have a single loopback host it returns SharedHost.
func OwnHost() string {
	host := fmt.Sprintf("127.%d.%d.3", 7+os.Getpid()%240, hosts.Add(1)%256)
	lis, err := net.Listen("tcp", anyPort(host))
	if err != nil {
		return SharedHost
	}
	_ = lis.Close()
	return host
}

// anyPort returns the address on a host whose port the kernel chooses when a listener opens.
func anyPort(host string) string { return net.JoinHostPort(host, "0") }

// NewTestServer starts an httptest.Server on a loopback host. Like httptest.NewServer it panics if it cannot listen.
func NewTestServer(host string, handler http.Handler) *httptest.Server {
	lis, err := net.Listen("tcp", anyPort(host))
	if err != nil {
		panic(err)
	}
	s := &httptest.Server{Listener: lis, Config: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}}
	s.Start()
	return s
}
