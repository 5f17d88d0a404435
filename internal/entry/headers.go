package entry

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// Headers that moorrun gives or reads.
const (
	requestIDHeader = "X-Request-Id"
	groupHeader     = "X-Moorrun-Group"
	birthHeader     = "X-Moorrun-Group-Birth"
	deadlineHeader  = "X-Moorrun-Deadline-Ms"
	forwardedHeader = "X-Moorrun-Forwarded-By"
	keyHeader       = "Idempotency-Key"
	priorityHeader  = "X-Moorrun-Priority"
	resumeHeader    = "X-Moorrun-Resume"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
}

// own are the headers that callers may not set towards endpoints.
var own = map[string]bool{
	"authorization": true, "host": true, "content-length": true, "expect": true,
	strings.ToLower(groupHeader): true, strings.ToLower(birthHeader): true,
	strings.ToLower(forwardedHeader): true, strings.ToLower(requestIDHeader): true,
}

// copyRequestHeaders copies what endpoints may see of a caller's headers.
func copyRequestHeaders(to *fasthttp.RequestHeader, from *fasthttp.RequestHeader) {
	dropped := named(from.Peek("Connection"))
	for key, value := range from.All() {
		name := strings.ToLower(string(key))
		if hopByHop[name] || own[name] || dropped[name] {
			continue
		}
		to.AddBytesKV(key, value)
	}
}

// copyResponseHeaders copies an endpoint's headers to the caller's answer.
func copyResponseHeaders(to *fasthttp.ResponseHeader, from *fasthttp.ResponseHeader) {
	dropped := named(from.Peek("Connection"))
	for key, value := range from.All() {
		name := strings.ToLower(string(key))
		if hopByHop[name] || dropped[name] || name == "content-length" {
			continue
		}
		to.AddBytesKV(key, value)
	}
}

// named returns the header names that a Connection header lists.
func named(connection []byte) map[string]bool {
	if len(connection) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for part := range bytes.SplitSeq(connection, []byte{','}) {
		out[strings.ToLower(string(bytes.TrimSpace(part)))] = true
	}
	return out
}

// unsafeHeaders returns what makes a request's framing or identity ambiguous, or "". It looks at the headers
// as they came, because the parser keeps only one of two that exclude each other.
func unsafeHeaders(h *fasthttp.RequestHeader) string {
	lengths, encodings, hosts := 0, 0, 0
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte{'\n'}) {
		key, _, _ := bytes.Cut(line, []byte{':'})
		switch strings.ToLower(string(bytes.TrimSpace(key))) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			encodings++
		case "host":
			hosts++
		}
	}
	switch {
	case lengths > 1:
		return "Content-Length stands twice"
	case lengths > 0 && encodings > 0:
		return "Content-Length and Transfer-Encoding exclude each other"
	case hosts > 1:
		return "Host stands twice"
	default:
		return ""
	}
}
