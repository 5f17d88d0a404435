package retry_test

import (
	"testing"
	"time"

	"moorrun.dev/moorrun/internal/retry"
)

func BenchmarkRequest(b *testing.B) {
	budget := full(limits, singleNode())
	now := origin
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Request(now)
	}
}

func BenchmarkTake(b *testing.B) {
	budget := full(limits, singleNode())
	now := origin
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Take(retry.Resume, now)
	}
}
