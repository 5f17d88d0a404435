package quarantine_test

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/quarantine"
)

// BenchmarkRequest measures the cost added to each request: computing its fingerprint, checking whether it is held back, and
// recording its answer.
func BenchmarkRequest(b *testing.B) {
	table := quarantine.NewTable()
	for f := range quarantine.Fingerprint(1000) {
		recordEndings(table, 1, 3, f)
	}
	c := quarantine.Content{Workspace: "w", Host: "h", Method: "POST", Target: "/a/b", Body: bytes.Repeat([]byte("x"), 2000)}
	now := time.Now()
	for b.Loop() {
		f := c.Fingerprint()
		table.Check(&quarantine.Signature{Request: f}, nil, now)
		table.Answered(f, now)
	}
}

// BenchmarkPrompt measures the cost added to each request with a prompt of four parts: computing its signature, checking whether
// it is held back, and recording that its answer has begun.
func BenchmarkPrompt(b *testing.B) {
	table := quarantine.NewTable()
	for f := range quarantine.Fingerprint(1000) {
		recordEndings(table, 1, 3, f)
	}
	c := quarantine.Content{Workspace: "w", Host: "h", Method: "POST", Target: "/a/b", Body: bytes.Repeat([]byte("x"), 2000)}
	now := time.Now()
	for b.Loop() {
		s := quarantine.NewSignature(&c, "m", []string{"common", "topic", "document", "own"})
		table.Check(&s, nil, now)
		table.Begun(s.Parts, now)
	}
}

func TestFullTableUsesLessThanOneMegabyte(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := quarantine.NewTable()
	for f := range quarantine.Fingerprint(2000) {
		recordEndings(table, 1, 16, f)
		table.Answered(1<<20+f, time.Now())
		table.Answered(1<<21+f, time.Now())
		for i := range quarantine.Fingerprint(9) {
			table.Begun([]quarantine.Fingerprint{1<<22 + 9*f + i}, time.Now())
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heapGrowth := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d KB", heapGrowth/1024)
	qt.Check(t, heapGrowth < 1<<20, qt.IsTrue, qt.Commentf("%d bytes", heapGrowth))
	runtime.KeepAlive(table)
}
