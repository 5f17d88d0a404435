package cmd

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
)

func TestEmptyTokenFileIsNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	flags.String("token-file", file, "")
	client := func(content string) (*Client, error) {
		qt.Assert(t, os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
		return newClient(flags)
	}
	_, err := client("\n")
	qt.Assert(t, err, qt.ErrorMatches, ".*"+file+" is empty; write the operator's credential into it.*")
	c, err := client("secret\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, c.token, qt.Equals, "secret")
}

// Guards against a status that HTTP does not know and that counts as success.
func TestNodeWithAnOddAnswerHasNotAnswered(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer lis.Close() //nolint:errcheck // the test is over
	statuses := make(chan string, 2)
	statuses <- "200 OK"
	statuses <- "000 OK"
	go func() {
		for status := range statuses {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			var request [4096]byte
			_, _ = c.Read(request[:])
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
			_ = c.Close()
		}
	}()
	c := &Client{nodes: []string{lis.Addr().String()}, calls: httpcall.NewClient()}
	r, err := c.call(fasthttp.MethodGet, "/", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(r.body), qt.Equals, "{}")
	_, err = c.call(fasthttp.MethodGet, "/", nil)
	qt.Check(t, err, qt.ErrorMatches, "no node answers: .*not an HTTP response: no status of a response")
}
