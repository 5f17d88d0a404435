package entry

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/verdict"
)

// resumeClaims identify the stream that a resume token continues. The token is signed with the hash of the
// credential that opened the stream. Every node has that hash from the configuration, so any node can verify the
// token, and only that credential can use it.
type resumeClaims struct {
	Stream  string `json:"s"` // request ID
	Model   string `json:"m"`
	Group   string `json:"g"`
	Birth   int64  `json:"b"`
	Address string `json:"a"` // address of the engine
}

// resumeRequest is the body of /v1/resume.
type resumeRequest struct {
	Token string `json:"token"`
	From  int64  `json:"from"` // number of events that the caller has received completely
}

var errInvalidResumeToken = errors.New("the resume token is not valid for this credential")

func (s *Server) resumeToken(a *attempt) string {
	claims, err := json.Marshal(resumeClaims{a.call.id, a.target.Model, a.target.Group, a.target.Birth, a.target.Leader})
	if err != nil {
		return ""
	}
	body := base64.RawURLEncoding.EncodeToString(claims)
	return body + "." + sign(body, a.call.credential())
}

func sign(body, credential string) string {
	mac := hmac.New(sha256.New, []byte("moorrun resume "+config.HashToken(credential)))
	mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// credential returns the caller's bearer token; prepareCall has checked that it is present.
func (c *call) credential() string {
	return string(c.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)[len(bearerPrefix):])
}

func readResumeToken(token, credential string) (resumeClaims, error) {
	var claims resumeClaims
	body, signature, _ := strings.Cut(token, ".")
	if !hmac.Equal([]byte(signature), []byte(sign(body, credential))) {
		return claims, errInvalidResumeToken
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return claims, errInvalidResumeToken
	}
	return claims, json.Unmarshal(raw, &claims)
}

// resume handles /v1/resume: it continues a stream whose entry VM was lost, starting with the first event that
// the caller has not received.
func (s *Server) resume(c *call) *failure {
	var r resumeRequest
	if err := json.Unmarshal(c.ctx.PostBody(), &r); err != nil || !c.ctx.IsPost() || r.From < 0 {
		return notRun(fasthttp.StatusBadRequest, "POST a JSON object with token and from")
	}
	claims, err := readResumeToken(r.Token, c.credential())
	if err != nil {
		return notRun(fasthttp.StatusForbidden, errInvalidResumeToken.Error())
	}
	c.id = claims.Stream
	target, ok := s.Router.Target(claims.Group, claims.Birth, clock.Now())
	if !ok || target.Leader != claims.Address {
		return &failure{fasthttp.StatusGone, verdict.MayHaveRun, "the stream's replica group is no longer in use", 0}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(fmt.Sprintf("/engine/streams/%s?from=%d", claims.Stream, r.From))
	request.SetHost(claims.Address)
	request.Header.Set(requestIDHeader, c.id)
	answer, err := s.Calls.Do(context.WithoutCancel(c.ctx), claims.Address, request, httpcall.Options{Timeout: c.remaining(), Endpoint: true, Stream: true})
	if err != nil {
		return &failure{fasthttp.StatusBadGateway, verdict.MayHaveRun, "the engine does not answer: " + err.Error(), time.Second}
	}
	if answer.Response.StatusCode() != fasthttp.StatusOK || string(answer.Response.Header.Peek(requestIDHeader)) != c.id {
		_ = answer.Close()
		return &failure{fasthttp.StatusGone, verdict.MayHaveRun, "the engine no longer has the stream", 0}
	}
	a := &attempt{call: c, target: target, sentAt: clock.Now()}
	return s.relayAnswer(a, answer, true)
}
