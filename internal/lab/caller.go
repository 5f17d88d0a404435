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

// Caller makes requests to entry VMs as a workspace's caller would.
type Caller struct {
	Token string
	http  *http.Client
}

// NewCaller returns a caller with that credential.
func NewCaller(token string) *Caller {
	return &Caller{Token: token, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// Complete sends a completion and reads its answer.
func (c *Caller) Complete(address string, k Completion) Reply {
	body, _ := json.Marshal(map[string]any{"model": k.Model, "prompt": k.Prompt, "max_tokens": k.Tokens, "stream": !k.NonStreaming})
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if k.DeadlineMS > 0 {
		r.Header.Set("X-Moorrun-Deadline-Ms", fmt.Sprint(k.DeadlineMS))
	}
	return c.do(r, !k.NonStreaming, k.OnEvent)
}

// CompleteAtEngine sends a completion straight to an engine, or through something that knows nothing of moorrun.
func (c *Caller) CompleteAtEngine(address string, engine infra.EngineState, k Completion) Reply {
	body, _ := json.Marshal(map[string]any{"prompt": k.Prompt, "max_tokens": k.Tokens, "stream": true})
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/engine/completions", bytes.NewReader(body))
	r.Header.Set("X-Request-Id", k.Prompt)
	r.Header.Set("X-Moorrun-Group", engine.Group)
	r.Header.Set("X-Moorrun-Group-Birth", fmt.Sprint(engine.GroupBirth))
	return c.do(r, true, k.OnEvent)
}

// Resume continues a stream at another address.
func (c *Caller) Resume(address, token string, from int) Reply {
	body, _ := json.Marshal(map[string]any{"token": token, "from": from})
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/resume", bytes.NewReader(body))
	return c.do(r, true, nil)
}

// CallService calls a plain service. mark names the call in the endpoint's count.
func (c *Caller) CallService(address, method, path, mark, key string, body string) Reply {
	r, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	r.Header.Set(standin.MarkHeader, mark)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return c.do(r, false, nil)
}

// KeyPrefix asks an address for the prefix of idempotency keys.
func (c *Caller) KeyPrefix(address string) (string, error) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/keys", nil)
	reply := c.do(r, false, nil)
	var answer struct{ Prefix string }
	err := json.Unmarshal([]byte(reply.Text), &answer)
	return answer.Prefix, errors.Join(reply.Err, err)
}

// AddressList asks an address which addresses to use.
func (c *Caller) AddressList(address string) (entry.AddressList, error) {
	var answer entry.AddressList
	r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/v1/which", nil)
	reply := c.do(r, false, nil)
	if reply.Err != nil {
		return answer, reply.Err
	}
	return answer, json.Unmarshal([]byte(reply.Text), &answer)
}

func (c *Caller) do(r *http.Request, stream bool, onEvent func(int) error) (out Reply) {
	start := time.Now()
	defer func() { out.Duration = time.Since(start) }()
	r.Header.Set("Authorization", "Bearer "+c.Token)
	answer, err := c.http.Do(r)
	if err != nil {
		out.Err = err
		return out
	}
	defer answer.Body.Close() //nolint:errcheck // read as far as wanted
	out.Status, out.Verdict = answer.StatusCode, answer.Header.Get(verdict.Header)
	out.Resume, out.RetryAfter = answer.Header.Get("X-Moorrun-Resume"), answer.Header.Get("Retry-After")
	if !stream || out.Status != http.StatusOK {
		body, err := io.ReadAll(answer.Body)
		out.Text, out.Err, out.Complete = string(body), err, err == nil && out.Status < http.StatusMultipleChoices
		return out
	}
	out.readEvents(answer.Body, start, onEvent)
	return out
}
