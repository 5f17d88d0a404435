package httpcall

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// maxInterimResponses is how many interim responses may come before the final one.
const maxInterimResponses = 16

// ErrNotHTTP is returned when what an endpoint sends is no final response as RFC 9112 has it, by its status line, its fields, what tells
// the length of its body, or its chunks. fasthttp accepts more, and the rest of this program relies on names, values and statuses as they
// are defined.
var ErrNotHTTP = errors.New("not an HTTP response")

// Errors of responses, none of which quotes what the endpoint has sent.
var (
	errStatusLine       = notHTTP("malformed status line")
	errStatus           = notHTTP("no status of a response")
	errProtocolSwitch   = notHTTP("switch to another protocol")
	errInterimResponses = notHTTP("too many interim responses")
	errFieldName        = notHTTP("malformed field name")
	errFieldValue       = notHTTP("malformed field value")
	errContentLength    = notHTTP("malformed Content-Length")
	errTransferEncoding = notHTTP("unsupported Transfer-Encoding")
	errFraming          = notHTTP("more than one length")
	errBody             = notHTTP("malformed chunks or trailer")
)

// notHTTPError is an ErrNotHTTP with its reason.
type notHTTPError string

func notHTTP(reason string) error { return notHTTPError(reason) }

// Error implements error.
func (e notHTTPError) Error() string { return ErrNotHTTP.Error() + ": " + string(e) }

// Is reports whether target is ErrNotHTTP.
func (notHTTPError) Is(target error) bool { return target == ErrNotHTTP }

const (
	crlf              = "\r\n"
	endOfHead         = crlf + crlf
	statusLength      = len("200")
	versionLength     = len("HTTP/1.1 ")
	lowestFinalStatus = 200
)

// awaitHead waits until r holds the whole head of a final response, and checks it. Interim responses before it are dropped.
func awaitHead(r *bufio.Reader) error {
	for range maxInterimResponses + 1 {
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		status, err := checkHead(head)
		if err != nil || status >= lowestFinalStatus {
			return err
		}
		if _, err := r.Discard(len(head)); err != nil {
			return err
		}
	}
	return errInterimResponses
}

// peekHead waits for a whole head and returns it with the blank line at its end. It fails at the first line that no head can have.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; {
		_, err := r.Peek(n)
		arrived, _ := r.Peek(r.Buffered())
		if end := bytes.Index(arrived, []byte(endOfHead)); end >= 0 {
			return arrived[:end+len(endOfHead)], nil
		}
		if line, _, whole := bytes.Cut(arrived, []byte(crlf)); whole {
			if _, err := checkStatusLine(line); err != nil {
				return nil, err
			}
		}
		if err != nil {
			return nil, headEnd(err, len(arrived))
		}
		n = len(arrived) + 1
	}
}

// headEnd returns the error for a head of which only a part has arrived.
func headEnd(err error, arrived int) error {
	switch {
	case IsTimeout(err):
		return fasthttp.ErrTimeout
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrEndless
	case errors.Is(err, io.EOF) && arrived > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// checkHead checks a head and returns its status.
func checkHead(head []byte) (status int, err error) {
	line, rest, _ := bytes.Cut(head, []byte(crlf))
	if status, err = checkStatusLine(line); err != nil {
		return 0, err
	}
	f := framing{oldVersion: line[versionLength-2] == '0'}
	for {
		line, rest, _ = bytes.Cut(rest, []byte(crlf))
		if len(line) == 0 {
			return status, f.check()
		}
		if err := f.addField(line); err != nil {
			return 0, err
		}
	}
}

// checkStatusLine checks a status line and returns its status: an interim one or a final one.
func checkStatusLine(line []byte) (status int, err error) {
	if len(line) < versionLength+statusLength || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(line, []byte("HTTP/1.0 ")) {
		return 0, errStatusLine
	}
	code, reason := line[versionLength:versionLength+statusLength], line[versionLength+statusLength:]
	if len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, errStatusLine
	}
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0, errStatusLine
		}
		status = 10*status + int(digit-'0')
	}
	switch {
	case status < 100 || status > 599:
		return 0, errStatus
	case status == fasthttp.StatusSwitchingProtocols:
		return 0, errProtocolSwitch
	}
	return status, nil
}

// framing collects what the fields of a head tell of the length of the body.
type framing struct {
	oldVersion      bool // HTTP/1.0, which knows no chunks
	length, chunked bool
}

// addField checks a line with a field.
func (f *framing) addField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errFieldName
	}
	value = bytes.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return errFieldValue
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return f.addLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return f.addCoding(value)
	}
	return nil
}

func (f *framing) addLength(value []byte) error {
	if f.length {
		return errFraming
	}
	f.length = true
	if len(value) == 0 || value[0] == '+' {
		return errContentLength
	}
	if _, err := strconv.ParseUint(string(value), 10, 63); err != nil {
		return errContentLength
	}
	return nil
}

func (f *framing) addCoding(value []byte) error {
	if f.chunked {
		return errFraming
	}
	f.chunked = true
	if f.oldVersion || !bytes.EqualFold(value, []byte("chunked")) {
		return errTransferEncoding
	}
	return nil
}

// check reports an error if the length of the body is told in two ways.
func (f *framing) check() error {
	if f.length && f.chunked {
		return errFraming
	}
	return nil
}
