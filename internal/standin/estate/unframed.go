package estate

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
)

// unframedWriter writes a response with neither a length nor chunks, which ends with its connection.
type unframedWriter struct {
	conn   net.Conn
	out    *bufio.ReadWriter
	header http.Header
	begun  bool
}

// newUnframedWriter takes over the connection of a response. The header of rw is kept.
func newUnframedWriter(rw http.ResponseWriter) (*unframedWriter, error) {
	conn, out, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return nil, err
	}
	return &unframedWriter{conn: conn, out: out, header: rw.Header()}, nil
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter.
func (u *unframedWriter) WriteHeader(status int) {
	u.begun = true
	_, _ = fmt.Fprintf(u.out, "HTTP/1.1 %d %s\r\nConnection: close\r\n", status, http.StatusText(status))
	_ = u.header.Write(u.out)
	_, _ = u.out.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(p []byte) (int, error) {
	if !u.begun {
		u.WriteHeader(http.StatusOK)
	}
	return u.out.Write(p)
}

// Flush implements http.Flusher.
func (u *unframedWriter) Flush() { _ = u.out.Flush() }

// close ends the response, and with reset set resets its connection.
func (u *unframedWriter) close(reset bool) {
	u.Flush()
	if tcp, ok := u.conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = u.conn.Close()
}
