package entry

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// Headers that moorrun sets or reads.
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

// hopByHopHeaders are the headers that apply to a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
}

// reservedHeaders are the request headers that are not forwarded from callers to endpoints.
var reservedHeaders = map[string]bool{
	"authorization": true, "host": true, "content-length": true, "expect": true,
	strings.ToLower(groupHeader): true, strings.ToLower(birthHeader): true,
	strings.ToLower(forwardedHeader): true, strings.ToLower(requestIDHeader): true,
}

// copyRequestHeaders copies those of a caller's headers that endpoints may receive.
func copyRequestHeaders(to *fasthttp.RequestHeader, from *fasthttp.RequestHeader) {
	dropped := connectionHeaders(from.Peek("Connection"))
	for key, value := range from.All() {
		name := strings.ToLower(string(key))
		if hopByHopHeaders[name] || reservedHeaders[name] || dropped[name] {
			continue
		}
		to.AddBytesKV(key, value)
	}
}

// copyResponseHeaders copies an endpoint's headers to the answer for the caller.
func copyResponseHeaders(to *fasthttp.ResponseHeader, from *fasthttp.ResponseHeader) {
	dropped := connectionHeaders(from.Peek("Connection"))
	for key, value := range from.All() {
		name := strings.ToLower(string(key))
		if hopByHopHeaders[name] || dropped[name] || name == "content-length" {
			continue
		}
		to.AddBytesKV(key, value)
	}
}

// connectionHeaders returns the header names listed in a Connection header, in lower case.
func connectionHeaders(connection []byte) map[string]bool {
	if len(connection) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for part := range bytes.SplitSeq(connection, []byte{','}) {
		out[strings.ToLower(string(bytes.TrimSpace(part)))] = true
	}
	return out
}

// headerAmbiguity returns why the length or the host of a request is ambiguous, or "" if neither is. It reads
// the raw headers, because the parser keeps only one of two conflicting headers.
func headerAmbiguity(h *fasthttp.RequestHeader) string {
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
