// Package engine predicts the latency and capacity of a service's replica groups from the performance figures of its model
// engines in the service's configuration. It does no I/O and reads no clock.
//
// An engine works in passes. In each pass it reads waiting prompts, up to a bound, and then writes some tokens of every request
// whose prompt has been read. A new request waits for the pass under way to end, and its first event comes at the end of the
// pass in which its prompt is read.
package engine

import "time"

const (
	// thousand and million are the units of ContextPerK, in tokens, and PairsPerM, in pairs of tokens.
	thousand = 1e3
	million  = 1e6
)

// Figures holds the published performance of a service's model engines, for a model of pace 1. The zero value means that none
// is published.
type Figures struct {
	Step          time.Duration // time of a step, which writes one token of each request
	PerWriter     time.Duration // added to each step per request that is being written
	ContextPerK   time.Duration // added to each step per 1,000 tokens of the context of those requests
	ReadPerSecond float64       // prompt tokens read per second
	PairsPerM     time.Duration // added to the reading of a prompt per million pairs of a token and an earlier one
	Stride        int           // steps per pass that writes
}

// Known reports whether the figures are published.
func (f *Figures) Known() bool { return f.Step > 0 && f.ReadPerSecond > 0 }

// Read returns the time to read a prompt of the given length in tokens, in seconds.
func (f *Figures) Read(tokens float64) float64 { return f.readAll(tokens, tokens*tokens) }

// readAll returns the time to read several prompts, in seconds, given the sum of their lengths in tokens and the sum of the
// squares of their lengths. A prompt has half the square of its length in pairs of a token and an earlier one.
func (f *Figures) readAll(tokens, squares float64) float64 {
	return tokens/f.ReadPerSecond + squares/2/million*f.PairsPerM.Seconds()
}

// Write returns the time of the writing steps of one pass, in seconds, for a number of requests with the given context in tokens
// each.
func (f *Figures) Write(writers, context float64) float64 {
	step := f.Step.Seconds() + writers*f.PerWriter.Seconds() + writers*context/thousand*f.ContextPerK.Seconds()
	return float64(max(1, f.Stride)) * step
}
