package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/verdict"
)

// errorResponse is the JSON body of every refusal and failure that this node answers.
type errorResponse struct {
	Error     string `json:"error"`
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id"`
	RetryMS   int64  `json:"retry_after_ms,omitempty"`
}

// failure describes the response to a request that got no answer from an endpoint.
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
	body, _ := json.Marshal(errorResponse{f.message, f.verdict.String(), requestID, f.retryAfter.Milliseconds()})
	ctx.SetBody(body)
}

func notRun(status int, message string) *failure {
	return &failure{status: status, verdict: verdict.NotRun, message: message}
}

func unavailable(message string, retryAfter time.Duration) *failure {
	return &failure{fasthttp.StatusServiceUnavailable, verdict.NotRun, message, retryAfter}
}
