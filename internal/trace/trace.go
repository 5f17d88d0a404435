// Package trace extracts from the logs of nodes the decisions on one request, and the events about the endpoints and groups
// that the request was sent to.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLine is the longest log line that can be read, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	VM        string         `json:"vm"`
	Event     string         `json:"event"`
	Own       bool           `json:"own"` // the line belongs to the request itself
	Fields    map[string]any `json:"fields"`
	timestamp string
}

// Read parses the lines of a log. Lines that are not JSON objects are skipped.
func Read(in io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if start := strings.IndexByte(text, '{'); start >= 0 {
			text = text[start:] // some log collectors prefix each line with a time and a name
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
	pop := func(name string) string {
		text, _ := fields[name].(string)
		delete(fields, name)
		return text
	}
	return Line{VM: pop("vm"), Event: pop("msg"), timestamp: pop("ts"), Fields: fields}
}

// ForRequest returns the lines of all nodes about the request with that ID, those about the endpoints and groups that it
// was sent to, and those about the endings that it was held back for. Lines of one node stay in the order in which it wrote them. Lines of different nodes are merged by timestamp;
// their order is approximate, because the clocks of nodes may differ. Ages in the lines are exact.
func ForRequest(id string, lines []Line) []Line {
	related := make(map[string]bool)
	var out []Line
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		for _, name := range []string{"endpoint", "group"} {
			if value, _ := l.Fields[name].(string); value != "" {
				related[value] = true
			}
		}
		instances, _ := l.Fields["instances"].([]any)
		for _, value := range instances {
			if instance, ok := value.(string); ok {
				related[instance] = true
			}
		}
	}
	for _, l := range lines {
		l.Own = l.Fields["request"] == id
		if l.Own || l.Fields["request"] == nil && l.mentionsAny(related) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return strings.Compare(a.timestamp, b.timestamp) })
	return out
}

// mentionsAny reports whether the line's endpoint, its instance, group or head is in names.
func (l *Line) mentionsAny(names map[string]bool) bool {
	for _, name := range []string{"endpoint", "instance", "group", "head"} {
		if value, _ := l.Fields[name].(string); names[value] {
			return true
		}
	}
	return false
}

// Time returns the timestamp that the node wrote.
func (l *Line) Time() string { return l.timestamp }

// Details returns the fields as name=value, sorted by name, without the request ID and the log level.
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
