// Package trace finds in the logs of nodes what was decided about one request, and what the nodes came to
// believe meanwhile of the endpoints and groups that it met.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLine is the longest line of a log that is read, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	VM     string         `json:"vm"`
	Event  string         `json:"event"`
	Own    bool           `json:"own"` // about the request itself
	Fields map[string]any `json:"fields"`
	at     string
}

// Read takes in the lines of a log. Lines that are no JSON objects are passed over.
func Read(in io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if start := strings.IndexByte(text, '{'); start >= 0 {
			text = text[start:] // some collectors write a time and a name before the line
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text), &fields) != nil {
			continue
		}
		out = append(out, newLine(fields))
	}
	return out, scanner.Err()
}

func newLine(fields map[string]any) Line {
	take := func(name string) string {
		text, _ := fields[name].(string)
		delete(fields, name)
		return text
	}
	return Line{VM: take("vm"), Event: take("msg"), at: take("ts"), Fields: fields}
}

// Of returns the lines about the request, and those about the endpoints and groups that it was sent to, from
// all nodes. Lines of one node stay in the order in which it wrote them; nodes are put side by side by the time
// of day they tell, which may differ between nodes: ages in the lines are exact.
func Of(id string, lines []Line) []Line {
	met := make(map[string]bool)
	var out []Line
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		for _, name := range []string{"endpoint", "group"} {
			if value, _ := l.Fields[name].(string); value != "" {
				met[value] = true
			}
		}
	}
	for _, l := range lines {
		l.Own = l.Fields["request"] == id
		if l.Own || l.Fields["request"] == nil && l.about(met) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return strings.Compare(a.at, b.at) })
	return out
}

// about reports whether the line names one of them.
func (l *Line) about(met map[string]bool) bool {
	for _, name := range []string{"endpoint", "group", "head"} {
		if value, _ := l.Fields[name].(string); met[value] {
			return true
		}
	}
	return false
}

// Time returns the time of day that the node told.
func (l *Line) Time() string { return l.at }

// Details returns the fields as name=value, in order of name, without the request's ID and the level.
func (l *Line) Details() string {
	var out []string
	for name, value := range l.Fields {
		if name != "request" && name != "level" {
			out = append(out, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
