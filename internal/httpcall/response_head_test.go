package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// answerWith returns the address of an endpoint that answers each request with the given bytes and closes the connection.
func answerWith(t *testing.T, response string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close() //nolint:errcheck // the response ends with it
				var request [4096]byte
				if _, err := c.Read(request[:]); err == nil {
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// receive makes a call and returns the status and body of the response.
func receive(address string, stream bool) (status int, body string, err error) {
	c := NewClient()
	var request fasthttp.Request
	request.SetRequestURI("http://" + address + "/")
	a, err := c.Do(context.Background(), address, &request, Options{Timeout: 5 * time.Second, Stream: stream})
	if err != nil {
		return 0, "", err
	}
	defer a.Close() //nolint:errcheck // the test is over
	if !stream {
		return a.Response.StatusCode(), string(a.Response.Body()), nil
	}
	content, err := io.ReadAll(a)
	return a.Response.StatusCode(), string(content), err
}

const (
	testStatusLine = "HTTP/1.1 200 OK\r\n"
	testLength     = "Content-Length: 5\r\n"
	testBody       = "\r\nhello"
)

var validResponses = map[string]string{
	"length":                    testStatusLine + testLength + testBody,
	"no reason":                 "HTTP/1.1 200\r\n" + testLength + testBody,
	"empty reason":              "HTTP/1.1 200 \r\n" + testLength + testBody,
	"without a length":          testStatusLine + testBody,
	"HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + testBody,
	"chunks":                    testStatusLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
	"chunks, upper case":        testStatusLine + "TRANSFER-ENCODING: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"interim":                   "HTTP/1.1 100 Continue\r\n\r\n" + testStatusLine + testLength + testBody,
	"two interim":               "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + testStatusLine + testLength + testBody,
	"empty value":               testStatusLine + "X-Odd:\r\n" + testLength + testBody,
	"bytes above 127 in values": testStatusLine + "X-Odd: \xc3\xa9\xff\r\n" + testLength + testBody,
	"tab in a value":            testStatusLine + "X-Odd:\ta\tb \r\n" + testLength + testBody,
	"all kinds of name bytes":   testStatusLine + "!#$%&'*+-.^_`|~09azAZ: a\r\n" + testLength + testBody,
}

var invalidResponses = map[string]string{
	"status 000":                    "HTTP/1.1 000 OK\r\n" + testLength + testBody,
	"status 099":                    "HTTP/1.1 099 OK\r\n" + testLength + testBody,
	"status 600":                    "HTTP/1.1 600 OK\r\n" + testLength + testBody,
	"status 999":                    "HTTP/1.1 999 OK\r\n" + testLength + testBody,
	"status of two digits":          "HTTP/1.1 20 OK\r\n" + testLength + testBody,
	"status of four digits":         "HTTP/1.1 2000 OK\r\n" + testLength + testBody,
	"status with a sign":            "HTTP/1.1 +20 OK\r\n" + testLength + testBody,
	"two blanks before the status":  "HTTP/1.1  200 OK\r\n" + testLength + testBody,
	"no status":                     "HTTP/1.1\r\n" + testLength + testBody,
	"switching protocols":           "HTTP/1.1 101 Switching Protocols\r\n" + testLength + testBody,
	"only an interim response":      "HTTP/1.1 100 Continue\r\n\r\n",
	"status 000 after an interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + testLength + testBody,
	"too many interim responses":    strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + testStatusLine + testLength + testBody,
	"odd field of an interim":       "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n" + testStatusLine + testLength + testBody,
	"version 2.0":                   "HTTP/2.0 200 OK\r\n" + testLength + testBody,
	"version 1.2":                   "HTTP/1.2 200 OK\r\n" + testLength + testBody,
	"version 0.9":                   "HTTP/0.9 200 OK\r\n" + testLength + testBody,
	"version in lower case":         "http/1.1 200 OK\r\n" + testLength + testBody,
	"other protocol":                "ICY 200 OK\r\n" + testLength + testBody,
	"control byte in the reason":    "HTTP/1.1 200 O\x01K\r\n" + testLength + testBody,
	"bare line feeds":               "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
	"a bare line feed":              testStatusLine + "X-Odd: a\n" + testLength + testBody,
	"blank line before the status":  "\r\n" + testStatusLine + testLength + testBody,
	"blank within a name":           testStatusLine + "X Odd: a\r\n" + testLength + testBody,
	"blank within a length's name":  testStatusLine + "Content Length: 3\r\n" + testBody,
	"blank before the colon":        testStatusLine + "X-Odd : a\r\n" + testLength + testBody,
	"tab before the colon":          testStatusLine + "X-Odd\t: a\r\n" + testLength + testBody,
	"blank before a length's colon": testStatusLine + "Content-Length : 3\r\n" + testBody,
	"blank before the name":         testStatusLine + testLength + " X-Odd: a\r\n" + testBody,
	"folded value":                  testStatusLine + "X-Odd: a\r\n b\r\n" + testLength + testBody,
	"control byte in a name":        testStatusLine + "X-\x01Odd: a\r\n" + testLength + testBody,
	"NUL in a name":                 testStatusLine + "X-\x00Odd: a\r\n" + testLength + testBody,
	"byte above 127 in a name":      testStatusLine + "X-\xe9: a\r\n" + testLength + testBody,
	"delimiter in a name":           testStatusLine + "X(Odd): a\r\n" + testLength + testBody,
	"empty name":                    testStatusLine + ": a\r\n" + testLength + testBody,
	"no colon":                      testStatusLine + "X-Odd\r\n" + testLength + testBody,
	"NUL in a value":                testStatusLine + "X-Odd: a\x00b\r\n" + testLength + testBody,
	"control byte in a value":       testStatusLine + "X-Odd: a\x01b\r\n" + testLength + testBody,
	"carriage return in a value":    testStatusLine + "X-Odd: a\rb\r\n" + testLength + testBody,
	"DEL in a value":                testStatusLine + "X-Odd: a\x7fb\r\n" + testLength + testBody,
	"two lengths":                   testStatusLine + testLength + "Content-Length: 3\r\n" + testBody,
	"list of lengths":               testStatusLine + "Content-Length: 5, 5\r\n" + testBody,
	"length with a sign":            testStatusLine + "Content-Length: +5\r\n" + testBody,
	"negative length":               testStatusLine + "Content-Length: -5\r\n" + testBody,
	"empty length":                  testStatusLine + "Content-Length:\r\n" + testBody,
	"hexadecimal length":            testStatusLine + "Content-Length: 0x5\r\n" + testBody,
	"length over 2^63":              testStatusLine + "Content-Length: 99999999999999999999\r\n" + testBody,
	"length and chunks":             testStatusLine + testLength + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"chunks and length":             testStatusLine + "Transfer-Encoding: chunked\r\n" + testLength + "\r\n5\r\nhello\r\n0\r\n\r\n",
	"other coding":                  testStatusLine + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"identity":                      testStatusLine + "Transfer-Encoding: identity\r\n" + testBody,
	"chunks twice":                  testStatusLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"body of another length":        testStatusLine + "Content-Length: 6\r\n" + testBody,
	"no last chunk":                 testStatusLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	"signed chunk size":             testStatusLine + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
}

// Guards against answers that no endpoint has given: a status or a field that HTTP does not know, taken for one that it does.
func TestResponsesThatAreNotHTTPAreNotReceived(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for name, response := range validResponses {
			status, body, err := receive(answerWith(t, response), stream)
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s, stream: %t", name, stream))
			qt.Check(t, status, qt.Equals, 200, qt.Commentf(name))
			qt.Check(t, body, qt.Equals, "hello", qt.Commentf(name))
		}
		for name, response := range invalidResponses {
			status, body, err := receive(answerWith(t, response), stream)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s, stream: %t: status %d, body %q", name, stream, status, body))
		}
	}
}

// Guards against a part of a head that is taken for a whole one because the connection ends there.
func TestHeadThatEndsWithinIsNotReceived(t *testing.T) {
	for name, response := range validResponses {
		end := strings.Index(response, "hello")
		if chunks := strings.Index(response, "\r\n\r\n2"); chunks >= 0 {
			end = chunks + len("\r\n\r\n")
		}
		if end < 0 || strings.Contains(name, "interim") && len(response) == 0 {
			continue
		}
		for cut := range end {
			for _, stream := range []bool{false, true} {
				status, body, err := receive(answerWith(t, response[:cut]), stream)
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s, cut after %d bytes, stream: %t: status %d, body %q", name, cut, stream, status, body))
			}
		}
	}
}

// pipeConn is a connection on which bytes have arrived and that the peer has closed.
type pipeConn struct {
	net.Conn
	io.Reader
}

func (c pipeConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// receiveBytes reads one response from bytes that have arrived.
func receiveBytes(arrived []byte, stream bool) (status int, body []byte, err error) {
	a := &Answer{conn: newConn(pipeConn{nil, strings.NewReader(string(arrived))}, "")}
	if err := a.receive(Options{Stream: stream}); err != nil {
		return 0, nil, err
	}
	if !stream {
		return a.Response.StatusCode(), a.Response.Body(), nil
	}
	body, err = io.ReadAll(a)
	return a.Response.StatusCode(), body, err
}

// receiveStandard reads the first final response with the standard library, which serves as the reference.
func receiveStandard(arrived []byte) (status int, body []byte, err error) {
	r := bufio.NewReader(strings.NewReader(string(arrived)))
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, nil, err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode >= lowestFinalStatus || err != nil {
			return response.StatusCode, body, err
		}
	}
}

// Whatever an endpoint sends is received as the standard library reads it, or not at all. The library also takes what is not received here.
func FuzzResponse(f *testing.F) {
	for _, responses := range []map[string]string{validResponses, invalidResponses} {
		for _, r := range responses {
			f.Add([]byte(r))
		}
	}
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\nsurplus"))
	f.Add([]byte("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nhello"))
	f.Add([]byte("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n"))
	f.Fuzz(func(t *testing.T, arrived []byte) {
		for _, stream := range []bool{false, true} {
			status, body, err := receiveBytes(arrived, stream)
			if err != nil {
				continue
			}
			wantStatus, wantBody, wantErr := receiveStandard(arrived)
			if wantErr != nil || status != wantStatus || string(body) != string(wantBody) {
				t.Fatalf("stream %t: received %d %q, the standard library %d %q, %v", stream, status, body, wantStatus, wantBody, wantErr)
			}
			if status < lowestFinalStatus || status > 599 {
				t.Fatalf("received status %d", status)
			}
		}
	})
}

// What checking a head adds to receiving a short answer.
func BenchmarkReceive(b *testing.B) {
	response := []byte(testStatusLine + "Date: Sun, 06 Dec 2026 00:00:00 GMT\r\nContent-Type: text/plain\r\nX-Attempt-Id: 0123456789abcdef\r\nX-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + testLength + testBody)
	b.Run("check", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := checkHead(response[:len(response)-len("hello")]); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("receive", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := receiveBytes(response, false); err != nil {
				b.Fatal(err)
			}
		}
	})
}
