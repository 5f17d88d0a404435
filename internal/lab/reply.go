package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"moorrun.dev/moorrun/internal/standin"
	"moorrun.dev/moorrun/internal/verdict"
)

// Reply is the result of one request as its caller sees it.
type Reply struct {
	Status     int
	Verdict    string
	Resume     string
	Text       string
	Events     int
	Complete   bool // the end marker of the stream or the complete body was received
	Err        error
	FirstToken time.Duration
	Duration   time.Duration
	RetryAfter string
}

// ErrCallerLeft is what OnEvent returns to close a stream, and the error of every stream that OnEvent has closed.
var ErrCallerLeft = errors.New("caller closed the stream")

func (out *Reply) readEvents(body io.Reader, start time.Time, onEvent func(int) error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			out.Complete = true
		default:
			if out.Events == 0 {
				out.FirstToken = time.Since(start)
			}
			var event struct{ Text, Error string }
			_ = json.Unmarshal([]byte(data), &event)
			if event.Error != "" {
				out.Verdict = verdict.MayHaveRun.String()
				continue
			}
			out.Text += event.Text
			out.Events++
			if onEvent != nil && onEvent(out.Events) != nil {
				out.Err = ErrCallerLeft
				return
			}
		}
	}
	out.Err = lines.Err()
	out.Complete = out.Complete && out.Err == nil
}

// ExpectedText returns the complete text that engines generate for a prompt.
func ExpectedText(prompt string, tokens int) string {
	text := ""
	for i := range tokens {
		text += standin.EventText(prompt, i)
	}
	return text
}
