package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// tally counts what happened.
type tally struct {
	mu         sync.Mutex
	faults     int
	requests   int64
	checks     int64
	violations []string
}

// check counts a check and records a violation unless ok.
func (t *tally) check(ok bool, format string, args ...any) {
	t.mu.Lock()
	t.checks++
	t.mu.Unlock()
	if !ok {
		t.violate(format, args...)
	}
}

func (t *tally) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, text)
	_, _ = fmt.Fprintln(os.Stderr, "violation:", text)
}

func (t *tally) request() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
}

func decode(text string, into any) { _ = json.Unmarshal([]byte(text), into) }
