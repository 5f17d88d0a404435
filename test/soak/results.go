package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
)

// results counts the faults, requests and checks of a run and lists the violations.
type results struct {
	mu         sync.Mutex
	faults     int
	requests   int64
	checks     int64
	deadly     int // requests that end engines
	violations []string

	sentCompletions atomic.Int64 // by callers, with those that resume a stream
}

// check counts a check and adds a violation unless ok.
func (r *results) check(ok bool, format string, args ...any) {
	r.mu.Lock()
	r.checks++
	r.mu.Unlock()
	if !ok {
		r.addViolation(format, args...)
	}
}

// addViolation records a violation and prints it to standard error.
func (r *results) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
	_, _ = fmt.Fprintln(os.Stderr, "violation:", text)
}

func (r *results) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
}

// countDeadly counts a request that ends engines and returns its number.
func (r *results) countDeadly() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadly++
	return r.deadly
}

// decode ignores errors: v keeps its zero value if a node did not answer.
func decode(text string, v any) { _ = json.Unmarshal([]byte(text), v) }
