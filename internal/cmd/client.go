package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/exitcode"
	"moorrun.dev/moorrun/internal/httpcall"
)

const (
	readTimeout  = 3 * time.Second // for a GET, after which the next node is tried
	callTimeout  = 15 * time.Second
	maxReply     = 64 << 20 // bytes
	nodesEnv     = "MOORRUN_NODES"
	defaultNodes = "127.0.0.1:7001"
)

// Client calls the administration API of the first node that answers.
type Client struct {
	nodes []string
	token string
	calls *httpcall.Client
}

func nodesFromEnv() []string {
	if v := os.Getenv(nodesEnv); v != "" {
		return strings.Split(v, ",")
	}
	return []string{defaultNodes}
}

func newClient(flags *pflag.FlagSet) (*Client, error) {
	nodes, _ := flags.GetStringSlice("node")
	file, _ := flags.GetString("token-file")
	c := &Client{nodes: nodes, calls: httpcall.NewClient()}
	c.calls.DialTimeout = readTimeout
	if file == "" {
		return c, nil
	}
	token, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, exitcode.New(exitcode.Usage, "token file: %w", err)
	}
	if c.token = strings.TrimSpace(string(token)); c.token == "" {
		return nil, exitcode.New(exitcode.Usage, "token file: %s is empty; write the operator's credential into it", file)
	}
	return c, nil
}

// reply is a response of the API.
type reply struct {
	status int
	body   []byte
}

func (r reply) decode(into any) error { return json.Unmarshal(r.body, into) }

// problem returns the error in the response body, with an exit code for the response status.
func (r reply) problem() error {
	var p adminapi.Problem
	if json.Unmarshal(r.body, &p) != nil || p.Error == "" {
		p.Error = strings.TrimSpace(string(r.body))
	}
	if r.status == fasthttp.StatusUnauthorized || r.status == fasthttp.StatusNotFound || r.status == fasthttp.StatusBadRequest {
		return exitcode.New(exitcode.Usage, "%s", p.Error)
	}
	return exitcode.New(exitcode.Failed, "%s", p.Error)
}

// call sends a request to one node after another until one answers with a status other than 503. Several nodes may
// process the request, so it must be safe to repeat.
func (c *Client) call(method, path string, in any) (reply, error) {
	var errs []error
	for _, node := range c.nodes {
		r, err := c.callNode(node, method, path, in)
		if err == nil && r.status != fasthttp.StatusServiceUnavailable {
			return r, nil
		}
		if err == nil {
			err = r.problem()
		}
		errs = append(errs, err)
	}
	return reply{}, exitcode.New(exitcode.Failed, "no node answers: %w", errors.Join(errs...))
}

func (c *Client) callNode(node, method, path string, in any) (reply, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + node + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return reply{}, err
		}
		request.SetBody(body)
	}
	timeout := callTimeout
	if method == fasthttp.MethodGet {
		timeout = readTimeout
	}
	answer, err := c.calls.Do(context.Background(), fasthttp.AddMissingPort(node, false), request, httpcall.Options{Timeout: timeout, MaxBody: maxReply})
	if err != nil {
		return reply{}, err
	}
	defer answer.Close() //nolint:errcheck // the body was read completely
	return reply{answer.Response.StatusCode(), append([]byte{}, answer.Response.Body()...)}, nil
}

// get sends a GET request and decodes the response.
func (c *Client) get(path string, into any) error {
	r, err := c.call(fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if r.status != fasthttp.StatusOK {
		return r.problem()
	}
	return r.decode(into)
}
