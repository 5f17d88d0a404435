package httpcall_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessServer answers each request with begin and then with rest until the connection is closed. It returns its address and the number of
// bytes sent.
func endlessServer(t *testing.T, begin, rest string) (string, *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	var sent atomic.Int64
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close() //nolint:errcheck // the client has closed it
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, begin)
		for rest := strings.Repeat(rest, 1+4096/len(rest)); err == nil; {
			var n int
			n, err = io.WriteString(c, rest)
			sent.Add(int64(n))
		}
	}()
	return lis.Addr().String(), &sent
}

// kernelBuffers bounds what the kernel takes on both sides of a connection without its being read, in bytes.
const kernelBuffers = 16 << 20

// Guards against reading bytes that never become part of a response until the call's timeout.
func TestBytesWithoutEndEndTheCall(t *testing.T) {
	for name, sent := range map[string][2]string{
		"chunk extension": {chunkedHead + "5;", "x"}, "chunk size": {chunkedHead, "0"}, "trailer": {chunkedHead + "0\r\n", "X-More: x\r\n"},
		"chunks": {chunkedHead, "5\r\nhello\r\n"}, "headers": {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n"}, "status line": {"HTTP/1.1 200 ", "x"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"}, "body": {"HTTP/1.1 200 OK\r\n\r\n", "x"}, "blank lines": {"", "\r\n"},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				address, count := endlessServer(t, sent[0], sent[1])
				var request fasthttp.Request
				request.SetHost(address)
				answer, err := httpcall.NewClient().Do(context.Background(), address, &request, httpcall.Options{Timeout: time.Minute, Stream: stream, MaxBody: 1 << 20})
				if err == nil {
					if name == "body" || name == "chunks" {
						_, err = io.ReadFull(answer, make([]byte, 1<<20)) // the reader of a stream bounds its body
						qt.Check(t, err, qt.IsNil)
					} else {
						_, err = io.ReadAll(answer)
						qt.Check(t, err, qt.IsNotNil)
					}
					_ = answer.Close()
				} else {
					qt.Check(t, strings.Contains(err.Error(), "X-More"), qt.IsFalse, qt.Commentf("%v", err))
				}
				qt.Check(t, count.Load() < kernelBuffers, qt.IsTrue, qt.Commentf("%d bytes", count.Load()))
			})
		}
	}
}

// Guards against bytes that come after a whole response and are taken for the next one.
func TestBytesAfterAResponseAreNotTheNextOne(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close() //nolint:errcheck // the client has closed it
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				for err == nil {
					_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
				}
			}()
		}
	}()
	client, address := httpcall.NewClient(), lis.Addr().String()
	for range 20 {
		var request fasthttp.Request
		request.SetHost(address)
		answer, err := client.Do(context.Background(), address, &request, httpcall.Options{Timeout: time.Minute})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(answer.Response.Body()), qt.Equals, "ok")
		_ = answer.Close()
		time.Sleep(time.Millisecond)
	}
}
