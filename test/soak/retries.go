package main

import (
	"time"

	"moorrun.dev/moorrun/internal/standin"
)

const (
	// maxAttemptsPerCompletion bounds the completions that engines receive for each one that a caller sends.
	maxAttemptsPerCompletion = 1.1
	// maxSavedRetries is how many retries a process may make in addition.
	maxSavedRetries = 10
)

// failEnginesDuringRestarts lets half of the engines fail all completions while a node is killed and started again twice.
func (w *workload) failEnginesDuringRestarts(i int, d time.Duration) {
	var failing []*standin.Engine
	for range len(w.lab.Engines) / 2 {
		e := w.lab.Engines[w.randomEngineVM()]
		e.FailAll.Store(true)
		failing = append(failing, e)
	}
	for range 2 {
		w.nodes[i].Kill()
		time.Sleep(d / 4)
		w.restartNode(i)
		time.Sleep(d / 4)
	}
	for _, e := range failing {
		e.FailAll.Store(false)
	}
}

// checkRetries checks that the engines did not receive many more completions than callers sent.
func (w *workload) checkRetries() {
	received := int64(0)
	for _, e := range w.lab.Engines {
		received += e.Requests.Load()
	}
	sent := w.results.sentCompletions.Load()
	allowed := int64(maxAttemptsPerCompletion*float64(sent)) + maxSavedRetries*int64(w.processes)
	w.results.check(received <= allowed, "engines received %d completions, allowed %d for %d that callers sent", received, allowed, sent)
}
