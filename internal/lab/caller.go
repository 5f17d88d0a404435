package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"moorrun.dev/moorrun/internal/entry"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/standin"
	"moorrun.dev/moorrun/internal/verdict"
)

// Caller is a client that sends requests to entry VMs with the credential of a workspace.
type Caller struct {
	Token string
	http  *http.Client
}

// NewCaller returns a caller with the given credential.
func NewCaller(token string) *Caller {
	return &Caller{Token: token, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// Complete sends a completion request and reads the response.
func (c *Caller) Complete(address string, completion Completion) Reply {
	body, _ := json.Marshal(map[string]any{"model": completion.Model, "prompt": completion.Prompt, "max_tokens": completion.Tokens, "stream": !completion.NonStreaming})
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if completion.DeadlineMS > 0 {
		r.Header.Set("X-Moorrun-Deadline-Ms", fmt.Sprint(completion.DeadlineMS))
	}
	return c.do(r, !completion.NonStreaming, completion.OnEvent)
}

// CompleteAtEngine sends a completion request directly to an engine, or through a proxy that does not implement moorrun.
func (c *Caller) CompleteAtEngine(address string, engine infra.EngineState, completion Completion) Reply {
	body, _ := json.Marshal(map[string]any{"prompt": completion.Prompt, "max_tokens": completion.Tokens, "stream": true})
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/engine/completions", bytes.NewReader(body))
	r.Header.Set("X-Request-Id", completion.Prompt)
	r.Header.Set("X-Moorrun-Group", engine.Group)
	r.Header.Set("X-Moorrun-Group-Birth", fmt.Sprint(engine.GroupBirth))
	return c.do(r, true, completion.OnEvent)
}

// Resume continues a stream at an address, from the event with index from.
func (c *Caller) Resume(address, token string, from int) Reply {
	body, _ := json.Marshal(map[string]any{"token": token, "from": from})
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/resume", bytes.NewReader(body))
	return c.do(r, true, nil)
}

// CallService calls a plain service. mark identifies the call in the run counts of the endpoint; key is its idempotency
// key, empty for none.
func (c *Caller) CallService(address, method, path, mark, key string, body string) Reply {
	r, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	r.Header.Set(standin.MarkHeader, mark)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return c.do(r, false, nil)
}

// KeyPrefix requests a prefix for idempotency keys from the node at address.
func (c *Caller) KeyPrefix(address string) (string, error) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/keys", nil)
	reply := c.do(r, false, nil)
	var response struct{ Prefix string }
	err := json.Unmarshal([]byte(reply.Text), &response)
	return response.Prefix, errors.Join(reply.Err, err)
}

// AddressList requests the list of entry addresses from the node at address.
func (c *Caller) AddressList(address string) (entry.AddressList, error) {
	var response entry.AddressList
	r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/v1/which", nil)
	reply := c.do(r, false, nil)
	if reply.Err != nil {
		return response, reply.Err
	}
	return response, json.Unmarshal([]byte(reply.Text), &response)
}

func (c *Caller) do(r *http.Request, stream bool, onEvent func(int) error) (out Reply) {
	start := time.Now()
	defer func() { out.Duration = time.Since(start) }()
	r.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.http.Do(r)
	if err != nil {
		out.Err = err
		return out
	}
	defer response.Body.Close() //nolint:errcheck // the rest of the body is not needed
	out.Status, out.Verdict = response.StatusCode, response.Header.Get(verdict.Header)
	out.Resume, out.RetryAfter = response.Header.Get("X-Moorrun-Resume"), response.Header.Get("Retry-After")
	if !stream || out.Status != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		out.Text, out.Err, out.Complete = string(body), err, err == nil && out.Status < http.StatusMultipleChoices
		return out
	}
	out.readEvents(response.Body, start, onEvent)
	return out
}
