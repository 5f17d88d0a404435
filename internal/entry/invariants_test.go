package entry

import (
	"bufio"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/domains"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/routing"
	"moorrun.dev/moorrun/internal/verdict"
)

func newTestServer() (*Server, *invariant.Checker) {
	s, checker, _ := newTestServerWithEvidence()
	return s, checker
}

// newTestServerWithEvidence also returns the table of evidence, which is empty.
func newTestServerWithEvidence() (*Server, *invariant.Checker, *evidence.Table) {
	table := evidence.NewTable()
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	m := mirror.New()
	router := routing.New(drains.NewReader(m), domains.NewReader(m), table, func() *config.Config { return nil })
	return New(Options{Checker: checker, Scope: tally.NoopScope, Router: router, Calls: httpcall.NewClient(), Logger: log.NewNopLogger()}), checker, table
}

func newCall(id string) *call {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	return &call{ctx: ctx, id: id, deadline: time.Now().Add(time.Minute)}
}

func TestAnswerWithAnotherRequestIDIsReported(t *testing.T) {
	s, checker := newTestServer()
	s.checkAnswerID(newCall("mine"), []byte("mine"))
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(0))
	s.checkAnswerID(newCall("mine"), []byte("another's"))
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
}

func TestSecondSendOfNonRepeatableRequestIsBlocked(t *testing.T) {
	s, checker := newTestServer()
	p := &plainCall{call: newCall("once"), mayHaveRun: true}
	err := s.sendPlain(p, config.Endpoint{Name: "e", Address: "127.0.0.1:1"})
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
}

func TestSendToGroupWithoutEvidenceIsBlocked(t *testing.T) {
	s, checker := newTestServer()
	a := &attempt{call: newCall("broken"), target: routing.Target{Group: "g", Domain: "d", Leader: "127.0.0.1:1"}}
	_, err := s.send(a)
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
}

// Guards against reporting a breach where a pause of the process lets the evidence end between choosing a group and sending.
func TestEvidenceThatEndsBeforeSendingIsNoBreach(t *testing.T) {
	s, checker, table := newTestServerWithEvidence()
	target := routing.Target{Group: "g", Domain: "d", Leader: "127.0.0.1:1"}
	ended := time.Now().Add(-time.Millisecond)
	table.Put(evidence.Observation{Domain: "d", Observer: "o", Sequence: 1, Groups: []evidence.Group{{ID: "g", Expires: ended}}}, time.Now())
	a := &attempt{call: newCall("late"), target: target, presentUntil: ended}
	_, err := s.send(a)
	qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
	qt.Check(t, checker.Breaches(), qt.Equals, int64(0))
	a.presentUntil = ended.Add(time.Second) // there is less evidence now than when the group was chosen
	_, err = s.send(a)
	qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
	qt.Check(t, checker.Breaches(), qt.Equals, int64(1))
}

// refusalReason parses a request header as the server does and returns why it is refused, or "" if it is not.
func refusalReason(raw string) string {
	var h fasthttp.RequestHeader
	if err := h.Read(bufio.NewReader(strings.NewReader(raw))); err != nil {
		return err.Error()
	}
	return headerAmbiguity(&h)
}

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	const line = "POST /v1/completions HTTP/1.1\r\n"
	qt.Assert(t, refusalReason(line+"Host: a\r\nContent-Length: 3\r\n\r\n"), qt.Equals, "")
	for _, headers := range []string{
		"Host: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
		"Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"Host: a\r\nHost: b\r\nContent-Length: 3\r\n",
		"Host: a\r\nContent-Length: -3\r\n",
		"Host: a\r\nContent-Length : 3\r\n",
	} {
		qt.Check(t, refusalReason(line+headers+"\r\n"), qt.Not(qt.Equals), "", qt.Commentf("%q", headers))
	}
}

func FuzzRequestHeaders(f *testing.F) {
	f.Add("Connection: keep-alive, x-secret\r\nX-Secret: 1\r\nTransfer-Encoding: chunked\r\n")
	f.Add("X-Moorrun-Group: g\r\nAuthorization: Bearer t\r\nX-Kept: yes\r\n")
	f.Fuzz(func(t *testing.T, headers string) {
		var from, to fasthttp.RequestHeader
		raw := "GET / HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n"
		if from.Read(bufio.NewReader(strings.NewReader(raw))) != nil {
			return
		}
		copyRequestHeaders(&to, &from)
		for _, name := range []string{"Authorization", "Transfer-Encoding", "Upgrade", groupHeader, birthHeader, forwardedHeader} {
			if value := to.Peek(name); len(value) > 0 {
				t.Fatalf("header %s: %q was forwarded from %q", name, value, headers)
			}
		}
	})
}

func FuzzResumeToken(f *testing.F) {
	f.Add("", "token")
	f.Add("e30.AAAA", "token")
	f.Fuzz(func(t *testing.T, token, credential string) {
		if claims, err := readResumeToken(token, credential); err == nil {
			t.Fatalf("token %q was accepted with claims %+v", token, claims)
		}
	})
}
