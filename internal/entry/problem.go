package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/verdict"
)

// problem is the JSON body of every refusal and failure.
type problem struct {
	Error     string `json:"error"`
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id"`
	RetryMS   int64  `json:"retry_after_ms,omitempty"`
}

// failure is how a request ends that gets no answer from an endpoint.
type failure struct {
	status     int
	verdict    verdict.Verdict
	message    string
	retryAfter time.Duration
}

func (f *failure) write(ctx *fasthttp.RequestCtx, requestID string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(f.status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(verdict.Header, f.verdict.String())
	ctx.Response.Header.Set(requestIDHeader, requestID)
	if f.retryAfter > 0 {
		seconds := (f.retryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	body, _ := json.Marshal(problem{f.message, f.verdict.String(), requestID, f.retryAfter.Milliseconds()})
	ctx.SetBody(body)
}

func notRun(status int, message string) *failure {
	return &failure{status: status, verdict: verdict.NotRun, message: message}
}

func notRunYet(message string, retryAfter time.Duration) *failure {
	return &failure{fasthttp.StatusServiceUnavailable, verdict.NotRun, message, retryAfter}
}
