package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run, and what was done to the system.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the script names the file
	return &record{file: file, began: time.Now()}, err
}

// note writes a line with the time since the start in seconds.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

// requests counts what was sent, run and answered, and writes a line for each request for which detail returns true.
func (r *record) requests(attempts []attempt, runs []execution, detail func(a attempt, e execution) bool) {
	ran := make(map[string]execution, len(runs))
	for _, e := range runs {
		ran[e.attempt] = e
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	for _, a := range attempts {
		where := "did not run"
		if e, did := ran[a.id]; did {
			where = fmt.Sprintf("ran at %s at %.4f", e.worker, e.at.Sub(r.began).Seconds())
		}
		answer := fmt.Sprintf("answered with %d", a.status)
		if a.err != nil {
			answer = "no whole answer"
		}
		counts[fmt.Sprintf("ran: %t, %s", ran[a.id].attempt != "", answer)]++
		if !detail(a, ran[a.id]) {
			continue
		}
		_, _ = fmt.Fprintf(r.file, "%9.4f sent %s %s, %s, %s\n", a.sent.Sub(r.began).Seconds(), a.id, a.key, where, answer)
	}
	for text, n := range counts {
		_, _ = fmt.Fprintf(r.file, "%d requests in all: %s\n", n, text)
	}
}
